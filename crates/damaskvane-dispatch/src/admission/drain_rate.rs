//! How fast a service's queue drains.

use damaskvane_core::time;

/// How long requests must have been waiting before departures say anything about the rate: a queue
/// that is mostly empty drains as slowly as requests arrive.
const MIN_EVIDENCE_MS: u64 = 500;
/// What is older than about this counts half.
const WINDOW_MS: u64 = 1_000;

/// Departures since requests began to wait.
#[derive(Debug, Default)]
pub(super) struct DrainRate {
    waiting_since: Option<time::TimeMs>,
    departures: u64,
}

impl DrainRate {
    pub(super) fn note_waiting(&mut self, now: time::TimeMs) {
        self.waiting_since.get_or_insert(now);
    }

    pub(super) fn note_empty(&mut self) {
        *self = Self::default();
    }

    pub(super) fn note_departure(&mut self, now: time::TimeMs) {
        self.departures += 1;
        let elapsed_ms = self.elapsed_ms(now);
        if elapsed_ms > WINDOW_MS {
            let half_ms = WINDOW_MS / 2;
            self.departures = self.departures * half_ms / elapsed_ms;
            let since = now.get().saturating_sub(half_ms);
            self.waiting_since = Some(time::TimeMs::new(since));
        }
    }

    /// The time in which so many requests drain, once there is evidence; none drained counts as one.
    pub(super) fn time_for(&self, now: time::TimeMs, requests: usize) -> Option<time::SpanMs> {
        let elapsed_ms = self.elapsed_ms(now);
        let drains_in_ms = requests as u64 * elapsed_ms / self.departures.max(1);
        (elapsed_ms >= MIN_EVIDENCE_MS).then(|| time::SpanMs::new(drains_in_ms))
    }

    fn elapsed_ms(&self, now: time::TimeMs) -> u64 {
        self.waiting_since.map_or(0, |since| now.since(since).get())
    }
}
