//! Estimates the load that other instances put on a backend server from the server's load reports.
//!
//! A slot is a server's capacity to run one request at a time.

use damaskvane_core::time::TimeMs;

/// The load that a server reports about itself, in a response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that are running on the server.
    pub running: u32,
    /// Number of requests that are waiting on the server for a free slot.
    pub waiting: u32,
    /// Number of requests that the server can run concurrently.
    pub slots: u32,
}

/// Time constant with which the estimate moves from the last report to the moving average.
const REPORT_DECAY_MS: f64 = 700.0;
/// Time constant of the exponential decay of the average load while no report arrives. A server that seems full
/// receives no request and so sends no report; without decay, one burst would leave the server unused for good.
/// The time spans several reports, which are rare in a large fleet: a server with a queue must not seem idle between
/// two reports.
const AVERAGE_DECAY_MS: f64 = 6_000.0;
/// Time constant of the moving average of the load that other instances put on a server.
const AVERAGE_WINDOW_MS: f64 = 4_000.0;

/// The number of other instances' requests on a server, estimated from the server's reports.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerLoad {
    latest: f64,
    average: f64,
    at: TimeMs,
    has_report: bool,
}

impl PeerLoad {
    /// Records a load report that the server made at `now`. `own_in_flight` of the reported requests are from this
    /// instance.
    pub(super) fn record(&mut self, now: TimeMs, report: LoadReport, own_in_flight: usize) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let others = (total - own_in_flight as f64).max(0.0);
        if self.has_report {
            let age_ms = now.since(self.at).get() as f64;
            let weight = 1.0 - (-(age_ms + 50.0) / AVERAGE_WINDOW_MS).exp();
            self.average += (others - self.average) * weight;
        } else {
            self.average = others;
        }
        self.latest = others;
        self.at = now;
        self.has_report = true;
    }

    /// Returns the time of the last report, or 0 if there is none.
    pub(super) const fn reported_at(&self) -> TimeMs {
        self.at
    }

    /// Returns the time of the last report and the other instances' requests on the server then, without the request whose
    /// response carried the report; `None` if there was no report.
    pub(super) fn last(&self) -> Option<(TimeMs, f64)> {
        self.has_report
            .then_some((self.at, (self.latest - 1.0).max(0.0)))
    }

    /// Returns the estimated number of other instances' requests on the server; 0 if there was no report.
    #[must_use]
    pub(super) fn estimate(&self, now: TimeMs) -> f64 {
        if !self.has_report {
            return 0.0;
        }
        let age_ms = now.since(self.at).get() as f64;
        let weight = (-age_ms / REPORT_DECAY_MS).exp();
        let average = self.average * (-age_ms / AVERAGE_DECAY_MS).exp();
        average + (self.latest - average) * weight
    }
}
