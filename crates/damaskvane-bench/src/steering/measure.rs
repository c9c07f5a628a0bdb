//! What a run measures.
//!
//! ```
//! use damaskvane_bench::steering;
//!
//! assert_eq!(steering::Measured::default().requests, 0);
//! ```

use serde::Serialize;

/// What a run measured after its warm-up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Measured {
    /// Requests that clients had.
    pub requests: u64,
    /// The median latency of those answered.
    pub p50_ms: f64,
    /// The 99th percentile of it.
    pub p99_ms: f64,
    /// The lowest free share of any live region's capacity in any second, in hundredths; below zero
    /// where more was steered to a region than it carries.
    pub headroom_percent: f64,
    /// Requests refused or failed, in hundredths of all.
    pub refused_percent: f64,
    /// Those of them that a full zone refused after they had been sent there.
    pub shed_percent: f64,
    /// What of the demand the live capacity could not carry whatever was decided, in hundredths.
    pub unavoidable_percent: f64,
    /// Seconds, counted for each zone and service, in which more was steered to it than it carries.
    pub overload_s: u64,
    /// Plans that broke an invariant.
    pub broken_invariants: u64,
}

/// Collects what a run measures.
#[derive(Debug, Default)]
pub(super) struct Meter {
    pub(super) latencies_us: Vec<u32>,
    pub(super) requests: u64,
    pub(super) refused: u64,
    pub(super) shed: u64,
    pub(super) overload_s: u64,
    pub(super) lowest_free: Option<f64>,
    pub(super) offered_rps: f64,
    pub(super) excess_rps: f64,
    pub(super) broken_invariants: u64,
}

impl Meter {
    pub(super) fn free(&mut self, share: f64) {
        self.lowest_free = Some(self.lowest_free.map_or(share, |lowest| lowest.min(share)));
    }

    pub(super) fn finish(mut self) -> Measured {
        self.latencies_us.sort_unstable();
        let quantile_ms = |permille: usize| {
            let index = self.latencies_us.len().saturating_sub(1) * permille / 1_000;
            self.latencies_us
                .get(index)
                .map_or(0.0, |us| f64::from(*us) / 1_000.0)
        };
        Measured {
            requests: self.requests,
            p50_ms: quantile_ms(500),
            p99_ms: quantile_ms(990),
            headroom_percent: self.lowest_free.unwrap_or(1.0) * 100.0,
            refused_percent: percent(self.refused as f64, self.requests as f64),
            shed_percent: percent(self.shed as f64, self.requests as f64),
            unavoidable_percent: percent(self.excess_rps, self.offered_rps),
            overload_s: self.overload_s,
            broken_invariants: self.broken_invariants,
        }
    }
}

fn percent(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole * 100.0
    } else {
        0.0
    }
}
