//! The rate of requests that a cold backend server gets from this instance.

use damaskvane_core::time::TimeMs;

use crate::limit::Window;

/// The bound on a cold server's requests in any second, from all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRateSettings {
    /// Factor on the rate that the server declares.
    pub factor: f64,
    /// Requests on top.
    pub slack: f64,
    /// The part of the bound that is used; the rest covers requests that bunch on their way.
    pub used_share: f64,
}

impl Default for ColdRateSettings {
    fn default() -> Self {
        Self {
            factor: 1.5,
            slack: 5.0,
            used_share: 0.9,
        }
    }
}

impl ColdRateSettings {
    /// This instance's requests a second, where so many instances share the server.
    #[must_use]
    pub fn share(&self, warmup_per_s: f64, instances: usize) -> usize {
        let bound = warmup_per_s.mul_add(self.factor, self.slack) * self.used_share;
        let share = (bound / instances.max(1) as f64).floor();
        // Negative declared rates come out as no request at all.
        share.max(0.0) as usize
    }
}

/// The requests sent to one cold server in the last second.
///
/// A server that has just started crashes when its share of the load comes at once. All instances see it
/// come up at the same moment, so each holds to its part of the bound without asking the others.
#[derive(Debug, Clone)]
pub struct ColdRate {
    sent: Window,
}

/// The span in which requests to a cold server are counted; longer than the second for which the bound
/// holds, since requests sent over a second apart may arrive less than one apart.
const COUNTED_MS: u64 = 1_100;

impl Default for ColdRate {
    fn default() -> Self {
        Self {
            sent: Window::new(COUNTED_MS),
        }
    }
}

impl ColdRate {
    /// Whether one more request stays within the share.
    #[must_use]
    pub fn has_capacity(&self, now: TimeMs, share: usize) -> bool {
        self.sent.counted(now) < share
    }

    /// Notes a request that was sent.
    pub fn record(&mut self, now: TimeMs) {
        self.sent.record(now);
        // Drops what is too old to count, so that a warm server's window stays short.
        self.sent.count(now);
    }
}
