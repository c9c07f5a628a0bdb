//! Detects that this process was paused, and delays new exchanges until the missed messages are read.
//!
//! ```text
//! gap between two events over 1 s -> nothing is sent to backend servers for 300 ms
//! ```

use damaskvane_core::time;

/// A gap between two calls of the engine that is longer than this span counts as a pause; ticks arrive every
/// few milliseconds.
const PAUSE_THRESHOLD: time::SpanMs = time::SpanMs::new(1_000);
/// The time allowed for reading the messages that waited in the sockets, and for another instance to report a
/// change.
const CATCH_UP_TIME: time::SpanMs = time::SpanMs::new(300);

/// The time of the last call of the engine, and the end of the delay after a pause.
///
/// Requests that arrived during a pause are read before the notice of a drain that began meanwhile. If they were
/// sent at once, a draining backend server would get requests long after its drain began, which operators would
/// see in its log.
#[derive(Debug, Default)]
pub(super) struct PauseDetector {
    last: Option<time::TimeMs>,
    hold_until: time::TimeMs,
}

impl PauseDetector {
    pub(super) fn record_call(&mut self, now: time::TimeMs) {
        let gap = self.last.map(|last| now.since(last)).unwrap_or_default();
        if gap > PAUSE_THRESHOLD {
            self.hold_until = now + CATCH_UP_TIME;
        }
        self.last = Some(now);
    }

    /// Returns whether new exchanges with backend servers have to wait.
    pub(super) fn is_holding(&self, now: time::TimeMs) -> bool {
        now < self.hold_until
    }
}
