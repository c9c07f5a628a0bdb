//! Encoded form of servers' limits. Postcard encodes fields and variants by position.

use damaskvane_core::time::SpanMs;
use damaskvane_routing::limit::RequestRate;
use damaskvane_routing::pool::{PeerLimitReport, ServerKey};
use serde::{Deserialize, Serialize};

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LimitWire {
    server: u32,
    rate_per_s: Option<f64>,
    age_ms: u64,
}

impl LimitWire {
    pub(super) fn of(report: &PeerLimitReport) -> Self {
        Self {
            server: report.server.get(),
            rate_per_s: report.rate.map(RequestRate::per_s),
            age_ms: report.age.get(),
        }
    }

    /// Returns the report, or `None` if the number is no rate.
    pub(super) fn into_report(self) -> Option<PeerLimitReport> {
        let rate = match self.rate_per_s {
            Some(per_s) => Some(RequestRate::new(per_s)?),
            None => None,
        };
        Some(PeerLimitReport {
            server: ServerKey::from_wire(self.server),
            rate,
            age: SpanMs::new(self.age_ms),
        })
    }
}
