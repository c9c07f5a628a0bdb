//! Notices that this process was paused, and holds new work back until it has heard what it missed.
//!
//! ```text
//! gap between two events over 1 s -> nothing is sent to backend servers for 300 ms
//! ```

use damaskvane_core::time;

/// Ticks come every few milliseconds; a gap above this was a pause.
const PAUSE_THRESHOLD: time::SpanMs = time::SpanMs::new(1_000);
/// How long what waited in the sockets may take to be read, and a neighbour to tell of a change.
const CATCH_UP_TIME: time::SpanMs = time::SpanMs::new(300);

/// When the engine was last called, and whether it is catching up.
///
/// Requests that waited out a pause are read before the news of a drain that happened meanwhile. Sent at
/// once, a leaving backend server would get work long after it should; operators would see it in its log.
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

    /// Whether new work has to wait.
    pub(super) fn is_holding(&self, now: time::TimeMs) -> bool {
        now < self.hold_until
    }
}
