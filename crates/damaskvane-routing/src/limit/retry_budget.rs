//! The number of retries that this instance may send to the backend servers of one service.

use damaskvane_core::time::TimeMs;

use crate::limit::Window;

/// The limit on retries to the servers of a service in any window of time, over all instances.
///
/// The limit is `ratio` times the requests in the window, plus `slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Number of retries allowed for each client's request in the window; may be a fraction.
    pub ratio: f64,
    /// Retries in a window that are allowed regardless of the number of requests, divided among all instances.
    pub slack: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window_ms: u64,
    /// Share of the limit that instances use. The rest is a reserve, because retries at the end of a window may be
    /// counted before their requests are, and because a restarted instance loses its count of retries.
    pub used_share: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window_ms: 10_000,
            used_share: 0.7,
        }
    }
}

/// The requests and retries of this instance in the last window, for one service.
///
/// When servers fail, retries without a budget multiply the load on the remaining servers. Each instance derives its
/// budget from its own requests and its share of the slack, so the sum over all instances stays within the limit, even
/// if instances disagree on which instances are alive.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    requests: Window,
    retries: Window,
}

impl RetryBudget {
    /// Returns a budget in which no request and no retry is recorded.
    #[must_use]
    pub const fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            requests: Window::new(settings.window_ms),
            retries: Window::new(settings.window_ms),
        }
    }

    /// Records a request of a client for the service.
    pub fn record_request(&mut self, now: TimeMs) {
        self.requests.record(now);
        self.requests.prune_and_count(now);
    }

    /// Records one retry and returns `true`, or returns `false` if the budget allows no further retry now.
    ///
    /// The slack is divided by `instances`, the maximum number of running instances.
    pub fn take(&mut self, now: TimeMs, instances: usize) -> bool {
        let requests = self.requests.prune_and_count(now) as f64;
        let slack = self.settings.slack / instances.max(1) as f64;
        let allowed = self.settings.ratio.mul_add(requests, slack) * self.settings.used_share;
        if (self.retries.prune_and_count(now) + 1) as f64 > allowed {
            return false;
        }
        self.retries.record(now);
        true
    }
}
