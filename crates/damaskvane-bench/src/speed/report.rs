//! The figures against their bounds.
//!
//! ```
//! use damaskvane_bench::speed;
//!
//! let report = speed::SpeedReport::default();
//! assert!(!report.met(&speed::Bounds::default()).iter().all(|(_, met)| *met));
//! ```

use serde::Serialize;

use crate::speed::{LookupFigures, RequestFigures};

/// What is asked of an entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Bounds {
    /// What it may add to the median, in milliseconds.
    pub extra_p50_ms: f64,
    /// What it may add to the 99th percentile, in milliseconds.
    pub extra_p99_ms: f64,
    /// The least look-ups a second.
    pub lookups_per_second: f64,
    /// The longest 99th percentile of look-ups, in milliseconds.
    pub lookup_p99_ms: f64,
    /// The most resident memory, in bytes.
    pub resident_bytes: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            extra_p50_ms: 0.5,
            extra_p99_ms: 2.0,
            lookups_per_second: 5_000.0,
            lookup_p99_ms: 5.0,
            resident_bytes: 64_000_000,
        }
    }
}

/// All figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SpeedReport {
    /// Whether the programs were built with optimisation.
    pub release: bool,
    /// Requests both ways.
    pub requests: RequestFigures,
    /// Look-ups as fast as they are answered.
    pub lookups: LookupFigures,
    /// Resident memory of the entry instance after all that, in bytes.
    pub resident_bytes: u64,
}

impl SpeedReport {
    /// What the entry instance adds to the median and to the 99th percentile, in milliseconds.
    #[must_use]
    pub fn extra_ms(&self) -> (f64, f64) {
        let (straight, through) = (&self.requests.straight, &self.requests.through);
        (
            through.p50_ms - straight.p50_ms,
            through.p99_ms - straight.p99_ms,
        )
    }

    /// Each figure with its bound, and whether it is met.
    #[must_use]
    pub fn met(&self, bounds: &Bounds) -> Vec<(String, bool)> {
        let (p50_ms, p99_ms) = self.extra_ms();
        let requests = &self.requests;
        let measured = requests.failed == 0 && requests.through.count > 0;
        let lookups = &self.lookups;
        let asked = lookups.failed == 0 && lookups.latency.count > 0;
        vec![
            (
                format!(
                    "entry adds {p50_ms:.3} ms p50, bound {} (straight {:.3}, through {:.3})",
                    bounds.extra_p50_ms, requests.straight.p50_ms, requests.through.p50_ms
                ),
                measured && p50_ms <= bounds.extra_p50_ms,
            ),
            (
                format!(
                    "entry adds {p99_ms:.3} ms p99, bound {} (straight {:.3}, through {:.3}, {} failed)",
                    bounds.extra_p99_ms,
                    requests.straight.p99_ms,
                    requests.through.p99_ms,
                    requests.failed
                ),
                measured && p99_ms <= bounds.extra_p99_ms,
            ),
            (
                format!(
                    "{:.0} look-ups/s, bound {}",
                    lookups.per_second, bounds.lookups_per_second
                ),
                asked && lookups.per_second >= bounds.lookups_per_second,
            ),
            (
                format!(
                    "look-up p99 {:.3} ms, bound {} ({} failed)",
                    lookups.latency.p99_ms, bounds.lookup_p99_ms, lookups.failed
                ),
                asked && lookups.latency.p99_ms <= bounds.lookup_p99_ms,
            ),
            (
                format!(
                    "resident {:.1} MB, bound {}",
                    self.resident_bytes as f64 / 1e6,
                    bounds.resident_bytes / 1_000_000
                ),
                self.resident_bytes > 0 && self.resident_bytes <= bounds.resident_bytes,
            ),
        ]
    }
}
