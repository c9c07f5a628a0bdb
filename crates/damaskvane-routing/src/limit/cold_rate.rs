//! The limit on the rate of requests that this instance sends to a cold backend server, which has started recently.

use damaskvane_core::time::TimeMs;

use crate::limit::Window;

/// The limit on requests to a cold backend server in any second, over all instances.
///
/// The limit is `factor` times the rate that the server's service declares, plus `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRateSettings {
    /// Factor by which the rate that the service declares is multiplied.
    pub factor: f64,
    /// Requests a second that are allowed in addition to the multiplied rate.
    pub slack: f64,
    /// Share of the limit that instances use; the rest is reserved for requests that bunch up in the network.
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
    /// Returns the requests a second that each of `instances` instances may send to a cold server whose service
    /// declares the rate `warmup_per_s`.
    #[must_use]
    pub fn share(&self, warmup_per_s: f64, instances: usize) -> usize {
        let bound = warmup_per_s.mul_add(self.factor, self.slack) * self.used_share;
        let share = (bound / instances.max(1) as f64).floor();
        // A negative declared rate allows no request.
        share.max(0.0) as usize
    }
}

/// The requests that this instance has sent to one backend server in the last 1.1 seconds.
///
/// A server that has just started crashes if it receives its full share of the load at once. All instances see the
/// server start at the same moment, so each instance keeps to its share of the limit without coordination.
#[derive(Debug, Clone)]
pub struct ColdRate {
    sent: Window,
}

/// Time span in which requests to a cold server are counted. The span is longer than the one second for which the
/// limit holds, because requests sent more than a second apart may arrive less than a second apart.
const WINDOW_MS: u64 = 1_100;

impl Default for ColdRate {
    fn default() -> Self {
        Self {
            sent: Window::new(WINDOW_MS),
        }
    }
}

impl ColdRate {
    /// Returns whether one more request stays within `share`, the requests that this instance may send in the time
    /// span.
    #[must_use]
    pub fn has_capacity(&self, now: TimeMs, share: usize) -> bool {
        self.sent.count_recent(now) < share
    }

    /// Records a request that is sent now.
    pub fn record(&mut self, now: TimeMs) {
        self.sent.record(now);
        // Removes expired events, so that the window of a warm server stays short.
        self.sent.prune_and_count(now);
    }
}
