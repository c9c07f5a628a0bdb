//! The retries towards one service that this instance may still make.

use damaskvane_core::time::TimeMs;

use crate::limit::Window;

/// The bound on a service's retries in any window, from all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries on top, shared by all instances.
    pub slack: f64,
    /// The window in which retries are counted.
    pub window_ms: u64,
    /// The part of the bound that is used: requests of the window's end may not count yet where retries
    /// already do, and a restarted instance forgets what it used.
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

/// Requests and retries of the last window, for one service.
///
/// When servers fail, retries without a budget multiply the load on those that are left. Each instance
/// pays for its retries from its own requests and its part of the slack, so the sum over all instances
/// stays within the bound under any view of who is alive.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    requests: Window,
    retries: Window,
}

impl RetryBudget {
    /// An unused budget.
    #[must_use]
    pub const fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            requests: Window::new(settings.window_ms),
            retries: Window::new(settings.window_ms),
        }
    }

    /// Notes a client's request for the service.
    pub fn record_request(&mut self, now: TimeMs) {
        self.requests.record(now);
        self.requests.count(now);
    }

    /// Takes one retry, where `instances` share the slack; `false` if none is left.
    pub fn take(&mut self, now: TimeMs, instances: usize) -> bool {
        let requests = self.requests.count(now) as f64;
        let slack = self.settings.slack / instances.max(1) as f64;
        let allowed = self.settings.ratio.mul_add(requests, slack) * self.settings.used_share;
        if (self.retries.count(now) + 1) as f64 > allowed {
            return false;
        }
        self.retries.record(now);
        true
    }
}
