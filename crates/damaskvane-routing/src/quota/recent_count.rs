//! The number of recent events, in a fixed amount of memory.

use damaskvane_core::time::TimeMs;

/// Number of intervals in which events are counted.
const BUCKETS: usize = 11;

/// The number of events in the last `period_ms`. It is never too low, and an event counts up to a tenth too long.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentCount {
    /// Number of the interval of the last event.
    newest: u64,
    width_ms: u64,
    buckets: [u32; BUCKETS],
    sum: u32,
}

impl RecentCount {
    /// Counts an event that occurs now.
    pub(super) fn record(&mut self, now: TimeMs, period_ms: u64) {
        self.advance(now, period_ms);
        self.buckets[self.newest as usize % BUCKETS] += 1;
        self.sum += 1;
    }

    /// Removes one event; returns whether there was one.
    pub(super) fn remove(&mut self, now: TimeMs, period_ms: u64) -> bool {
        self.advance(now, period_ms);
        let found = self.buckets.iter_mut().find(|count| **count > 0);
        if let Some(count) = found {
            *count -= 1;
            self.sum -= 1;
            return true;
        }
        false
    }

    /// Returns the number of events.
    pub(super) fn get(&mut self, now: TimeMs, period_ms: u64) -> f64 {
        self.advance(now, period_ms);
        f64::from(self.sum)
    }

    fn advance(&mut self, now: TimeMs, period_ms: u64) {
        let width_ms = period_ms.div_ceil(BUCKETS as u64 - 1).max(1);
        if width_ms != self.width_ms {
            // The intervals differ, so all events count as if they occurred now.
            let sum = self.sum;
            *self = Self {
                newest: now.get() / width_ms,
                width_ms,
                buckets: [0; BUCKETS],
                sum,
            };
            self.buckets[self.newest as usize % BUCKETS] = sum;
        }
        let number = now.get() / width_ms;
        if number <= self.newest {
            return;
        }
        let passed = (number - self.newest).min(BUCKETS as u64);
        self.newest = number;
        for back in 0..passed {
            let bucket = &mut self.buckets[(self.newest - back) as usize % BUCKETS];
            self.sum -= core::mem::take(bucket);
        }
    }
}
