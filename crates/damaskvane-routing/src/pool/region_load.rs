//! The load of a service's servers in one region, averaged over the servers' load reports.
//!
//! A slot is a server's capacity to run one request at a time.

use std::collections::VecDeque;

use damaskvane_core::time::TimeMs;

use crate::pool::ServerHandle;

/// Time constant of the moving average of the servers' load reports.
const AVERAGE_WINDOW_MS: f64 = 2_000.0;
/// Time constant of the exponential decay of the average while no report arrives.
const DECAY_MS: f64 = 6_000.0;
/// Number of servers that are stored as those with the newest reports: with many servers, few of an object's usual
/// servers have a report that is young enough to count.
const MAX_RECENT: usize = 8;

/// Average of the recent load reports of a region's servers, and the number of this instance's requests there.
#[derive(Debug, Default)]
pub(super) struct RegionLoad {
    per_slot: f64,
    at: TimeMs,
    in_flight: usize,
    recent: VecDeque<ServerHandle>,
}

impl RegionLoad {
    /// Records that a server has reported its load last.
    pub(super) fn record_recent(&mut self, server: ServerHandle) {
        self.recent.retain(|one| *one != server);
        self.recent.truncate(MAX_RECENT - 1);
        self.recent.push_front(server);
    }

    /// Returns the servers with the newest reports to this instance, the newest first.
    pub(super) fn recent(&self) -> impl Iterator<Item = ServerHandle> {
        self.recent.iter().copied()
    }

    /// Records a load report of a server; `per_slot` is the server's number of requests divided by its slots.
    pub(super) fn record(&mut self, now: TimeMs, per_slot: f64) {
        let age_ms = now.since(self.at).get() as f64;
        let previous = self.per_slot(now);
        let weight = 1.0 - (-(age_ms + 50.0) / AVERAGE_WINDOW_MS).exp();
        self.per_slot = previous + (per_slot - previous) * weight;
        self.at = self.at.max(now);
    }

    /// Changes the number of this instance's requests in flight to the region, of which one server has `after` instead
    /// of `before`.
    pub(super) fn change_in_flight(&mut self, before: usize, after: usize) {
        self.in_flight = (self.in_flight + after).saturating_sub(before);
    }

    /// Returns the estimated load per slot: the average of the reports, or this instance's own requests per slot if
    /// higher. `slots` is the number of slots in the region.
    pub(super) fn estimate(&self, now: TimeMs, slots: f64) -> f64 {
        let own = self.in_flight as f64 / slots.max(1.0);
        self.per_slot(now).max(own)
    }

    fn per_slot(&self, now: TimeMs) -> f64 {
        let age_ms = now.since(self.at).get() as f64;
        self.per_slot * (-age_ms / DECAY_MS).exp()
    }
}
