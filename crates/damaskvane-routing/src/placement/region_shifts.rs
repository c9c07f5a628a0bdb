//! Limits the share of requests that are sent to another region because the servers of their object's region are busy.
//!
//! A burst fills the servers of a region within a second. If all requests beyond their capacity went to other regions
//! at once, the servers there would run requests for many objects that they have not handled recently, and clients of
//! all regions would get slow responses. The share of shifted requests may therefore rise by only one step from each
//! window to the next.

use damaskvane_core::time::TimeMs;

/// Length of the consecutive windows whose shares of shifted requests are compared.
const WINDOW_MS: u64 = 2_000;

/// Counts of all sent requests and of those shifted to another region, in one window.
#[derive(Debug, Clone, Copy, Default)]
struct WindowCounts {
    requests: u32,
    shifted: u32,
}

impl WindowCounts {
    fn share(self) -> f64 {
        f64::from(self.shifted) / f64::from(self.requests.max(1))
    }
}

/// Counts this instance's requests that went to another region, in the current and the previous window.
#[derive(Debug, Default)]
pub(super) struct RegionShifts {
    window_start: TimeMs,
    current: WindowCounts,
    previous: WindowCounts,
}

impl RegionShifts {
    /// Records a request that is sent.
    pub(super) fn record(&mut self, now: TimeMs, is_shifted: bool) {
        self.roll_window(now);
        self.current.requests += 1;
        self.current.shifted += u32::from(is_shifted);
    }

    /// Returns whether one more request may go to another region. The share of shifted requests may rise by `step` from
    /// one window to the next.
    pub(super) fn may_shift(&mut self, now: TimeMs, step: f64) -> bool {
        self.roll_window(now);
        let elapsed_windows = now.since(self.window_start).get() as f64 / WINDOW_MS as f64;
        // Early in a window few requests are counted. The number that the previous window had in the same time is a
        // minimum.
        let requests = f64::from(self.current.requests + 1)
            .max(f64::from(self.previous.requests) * elapsed_windows);
        let shifted = f64::from(self.current.shifted + 1);
        shifted <= (requests * (self.previous.share() + step)).max(1.0)
    }

    fn roll_window(&mut self, now: TimeMs) {
        let elapsed_ms = now.since(self.window_start).get();
        if elapsed_ms < WINDOW_MS {
            return;
        }
        let is_next = elapsed_ms < 2 * WINDOW_MS;
        self.previous = if is_next {
            self.current
        } else {
            WindowCounts::default()
        };
        self.current = WindowCounts::default();
        self.window_start = now;
    }
}
