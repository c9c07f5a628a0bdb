//! The highest value that a quantity had recently, in a fixed amount of memory.

use damaskvane_core::time::TimeMs;

/// Number of intervals for which the highest value is kept.
const BUCKETS: usize = 32;

/// The highest value over at least the last `window_ms`. It is never too low, and falls up to one interval late.
#[derive(Debug, Clone)]
pub(super) struct RecentPeak {
    window_ms: u64,
    /// Number of the interval of the last value.
    newest: u64,
    buckets: [f64; BUCKETS],
    highest: f64,
}

impl RecentPeak {
    /// Returns a quantity that had `value` during the whole window before `now`.
    pub(super) const fn new(now: TimeMs, window_ms: u64, value: f64) -> Self {
        Self {
            window_ms,
            newest: now.get() / width_ms(window_ms),
            buckets: [value; BUCKETS],
            highest: value,
        }
    }

    /// Returns the length of an interval in milliseconds.
    pub(super) const fn width_ms(&self) -> u64 {
        width_ms(self.window_ms)
    }

    /// Records a value that the quantity has now.
    pub(super) fn record(&mut self, now: TimeMs, value: f64) {
        self.advance(now);
        let bucket = &mut self.buckets[self.newest as usize % BUCKETS];
        *bucket = bucket.max(value);
        self.highest = self.highest.max(value);
    }

    /// Returns the highest value of the window that ends now.
    pub(super) fn get(&mut self, now: TimeMs) -> f64 {
        self.advance(now);
        self.highest
    }

    fn advance(&mut self, now: TimeMs) {
        let number = now.get() / self.width_ms();
        if number <= self.newest {
            return;
        }
        let passed = (number - self.newest).min(BUCKETS as u64);
        self.newest = number;
        for back in 0..passed {
            self.buckets[(self.newest - back) as usize % BUCKETS] = 0.0;
        }
        self.highest = self.buckets.iter().copied().fold(0.0, f64::max);
    }
}

/// The interval that is in progress counts for less than its length, so one interval more than the window is kept.
const fn width_ms(window_ms: u64) -> u64 {
    let width_ms = window_ms.div_ceil(BUCKETS as u64 - 1);
    if width_ms == 0 { 1 } else { width_ms }
}
