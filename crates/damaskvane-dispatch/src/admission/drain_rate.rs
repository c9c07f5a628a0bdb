//! Estimates the time until all requests queued for one service have left the queue.

use damaskvane_core::time;

/// Minimum time in milliseconds that the queue must have been non-empty before its drain rate is used: a queue
/// that is mostly empty drains only as fast as requests arrive.
const MIN_SAMPLE_MS: u64 = 500;
/// Longest time in milliseconds over which departures (requests taken from the queue to be sent) are counted; a
/// longer sample is scaled down to half this length, so that recent departures weigh more.
const WINDOW_MS: u64 = 1_000;

/// Counts the requests taken from the queue to be sent, since the queue was last empty.
#[derive(Debug, Default)]
pub(super) struct DrainRate {
    waiting_since: Option<time::TimeMs>,
    departures: u64,
}

impl DrainRate {
    pub(super) fn record_waiting(&mut self, now: time::TimeMs) {
        self.waiting_since.get_or_insert(now);
    }

    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    pub(super) fn record_departure(&mut self, now: time::TimeMs) {
        self.departures += 1;
        let elapsed_ms = self.elapsed_ms(now);
        if elapsed_ms > WINDOW_MS {
            let half_ms = WINDOW_MS / 2;
            self.departures = self.departures * half_ms / elapsed_ms;
            let since = now.get().saturating_sub(half_ms);
            self.waiting_since = Some(time::TimeMs::new(since));
        }
    }

    /// Returns the estimated time until `requests` requests have left the queue, or `None` while the sample is
    /// shorter than the minimum.
    ///
    /// A sample without departures counts as one departure.
    pub(super) fn time_to_drain(&self, now: time::TimeMs, requests: usize) -> Option<time::SpanMs> {
        let elapsed_ms = self.elapsed_ms(now);
        let drains_in_ms = requests as u64 * elapsed_ms / self.departures.max(1);
        (elapsed_ms >= MIN_SAMPLE_MS).then(|| time::SpanMs::new(drains_in_ms))
    }

    fn elapsed_ms(&self, now: time::TimeMs) -> u64 {
        self.waiting_since.map_or(0, |since| now.since(since).get())
    }
}
