//! The phases of a planned stop.
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

/// In look-up answers, takes everything.
#[derive(Debug, Clone, Copy, Default)]
pub struct Serving;

/// Out of look-up answers; still takes what older answers bring.
#[derive(Debug)]
pub struct Leaving {
    since: time::TimeMs,
    settings: settings::ShutdownSettings,
}

/// Dispatches no more keys; the table goes to the successor, and what runs ends.
#[derive(Debug)]
pub struct HandingOver {
    since: time::TimeMs,
    settings: settings::ShutdownSettings,
}

/// Nothing is left to do; the process may end.
#[derive(Debug, Clone, Copy)]
pub struct Stopped {
    /// Whether the time ran out before all was done: then requests may be *unknown*.
    pub is_cut_short: bool,
}

impl Serving {
    /// The stop begins: the instance tells its peers and the platform that it leaves.
    #[must_use]
    pub const fn leave(self, now: time::TimeMs, settings: settings::ShutdownSettings) -> Leaving {
        Leaving {
            since: now,
            settings,
        }
    }
}

impl Leaving {
    /// Moves on once look-up answers have lapsed and nothing runs, or the longest time is over.
    ///
    /// # Errors
    ///
    /// The unchanged phase, while there is reason to wait.
    pub fn begin_handover(self, now: time::TimeMs, running: usize) -> Result<HandingOver, Self> {
        let elapsed_ms = now.since(self.since).get();
        let lapsed_ms = self.settings.notice_ms + self.settings.lookup_ttl_ms;
        let is_quiet = elapsed_ms >= lapsed_ms && running == 0;
        if is_quiet || elapsed_ms >= self.settings.max_leaving_ms.max(lapsed_ms) {
            Ok(HandingOver {
                since: now,
                settings: self.settings,
            })
        } else {
            Err(self)
        }
    }

    /// What operators see.
    #[must_use]
    pub const fn progress(&self, now: time::TimeMs, running: usize) -> progress::Progress {
        let longest = time::SpanMs::new(self.settings.max_leaving_ms);
        progress::Progress {
            phase: "leaving",
            running,
            time_left: longest.saturating_sub(now.since(self.since)),
        }
    }
}

impl HandingOver {
    /// Stops once the successor holds the whole table and nothing runs, or the time is over.
    ///
    /// # Errors
    ///
    /// The unchanged phase, while there is reason to wait.
    pub fn stop(
        self,
        now: time::TimeMs,
        running: usize,
        is_acknowledged: bool,
    ) -> Result<Stopped, Self> {
        let is_done = is_acknowledged && running == 0;
        let is_over = now.since(self.since).get() >= self.settings.max_handover_ms;
        if is_done || is_over {
            Ok(Stopped {
                is_cut_short: !is_done,
            })
        } else {
            Err(self)
        }
    }

    /// What operators see.
    #[must_use]
    pub const fn progress(&self, now: time::TimeMs, running: usize) -> progress::Progress {
        let longest = time::SpanMs::new(self.settings.max_handover_ms);
        progress::Progress {
            phase: "handing_over",
            running,
            time_left: longest.saturating_sub(now.since(self.since)),
        }
    }
}
