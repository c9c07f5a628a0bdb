//! The phases of a planned shutdown.
//!
//! A lookup response names the entry instances that a client may use; clients cache it for a short time.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::shutdown;
//!
//! let settings = shutdown::ShutdownSettings::default();
//! let leaving = shutdown::Serving.leave(time::TimeMs::ZERO, settings);
//! assert!(leaving.begin_handover(time::TimeMs::new(100), 0).is_err());
//! ```

use damaskvane_core::time;

use crate::shutdown::{progress, settings};

/// The phase before a planned shutdown: lookup responses name the instance, and it accepts all requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Serving;

/// The instance is removed from lookup responses and still accepts requests of clients that hold older
/// responses.
#[derive(Debug)]
pub struct Leaving {
    since: time::TimeMs,
    settings: settings::ShutdownSettings,
}

/// The instance dispatches no new keys, sends its key table to the successor and waits for the running
/// requests.
#[derive(Debug)]
pub struct HandingOver {
    since: time::TimeMs,
    settings: settings::ShutdownSettings,
}

/// The shutdown is finished and the process may exit.
#[derive(Debug, Clone, Copy)]
pub struct Stopped {
    /// Whether the handover timed out before it was complete; in that case the outcomes of requests may be
    /// answered as *unknown*.
    pub is_timed_out: bool,
}

impl Serving {
    /// Begins the planned shutdown; the instance announces its departure to its peers and the platform.
    #[must_use]
    pub const fn leave(self, now: time::TimeMs, settings: settings::ShutdownSettings) -> Leaving {
        Leaving {
            since: now,
            settings,
        }
    }
}

impl Leaving {
    /// Begins the handover once the lookup responses that name the instance have expired and `running`, the
    /// number of requests on this instance, is zero, or after `max_leaving_ms`.
    ///
    /// # Errors
    ///
    /// Returns the unchanged phase if the instance has to wait longer.
    pub fn begin_handover(self, now: time::TimeMs, running: usize) -> Result<HandingOver, Self> {
        let elapsed_ms = now.since(self.since).get();
        let expired_after_ms = self.settings.notice_ms + self.settings.lookup_ttl_ms;
        let is_idle = elapsed_ms >= expired_after_ms && running == 0;
        if is_idle || elapsed_ms >= self.settings.max_leaving_ms.max(expired_after_ms) {
            Ok(HandingOver {
                since: now,
                settings: self.settings,
            })
        } else {
            Err(self)
        }
    }

    /// Returns the progress that operators see.
    #[must_use]
    pub const fn progress(&self, now: time::TimeMs, running: usize) -> progress::Progress {
        let max_duration = time::SpanMs::new(self.settings.max_leaving_ms);
        progress::Progress {
            phase: "leaving",
            running,
            time_left: max_duration.saturating_sub(now.since(self.since)),
        }
    }
}

impl HandingOver {
    /// Stops once `is_acknowledged` is set, because the successor has acknowledged the whole key table, and
    /// `running` is zero, or after `max_handover_ms`.
    ///
    /// # Errors
    ///
    /// Returns the unchanged phase if the instance has to wait longer.
    pub fn stop(
        self,
        now: time::TimeMs,
        running: usize,
        is_acknowledged: bool,
    ) -> Result<Stopped, Self> {
        let is_done = is_acknowledged && running == 0;
        let is_timed_out = now.since(self.since).get() >= self.settings.max_handover_ms;
        if is_done || is_timed_out {
            Ok(Stopped {
                is_timed_out: !is_done,
            })
        } else {
            Err(self)
        }
    }

    /// Returns the progress that operators see.
    #[must_use]
    pub const fn progress(&self, now: time::TimeMs, running: usize) -> progress::Progress {
        let max_duration = time::SpanMs::new(self.settings.max_handover_ms);
        progress::Progress {
            phase: "handing_over",
            running,
            time_left: max_duration.saturating_sub(now.since(self.since)),
        }
    }
}
