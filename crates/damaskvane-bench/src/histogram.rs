//! Quantiles of spans in microseconds.
//!
//! ```
//! use damaskvane_bench::histogram;
//!
//! let summary = histogram::Summary::of([1_000, 2_000, 3_000]);
//! assert_eq!(summary.count, 3);
//! assert_eq!(summary.p50_ms, 2.0);
//! ```

use serde::Serialize;

/// Significant digits kept of each value.
const DIGITS: u8 = 3;
/// The longest span kept as it is, in microseconds; longer ones count as this.
const LONGEST_US: u64 = 600_000_000;

/// Count and quantiles of some spans.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Summary {
    /// How many spans.
    pub count: u64,
    /// The median in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile in milliseconds.
    pub p99_ms: f64,
    /// The longest in milliseconds.
    pub max_ms: f64,
}

impl Summary {
    /// Sums up spans in microseconds.
    #[must_use]
    pub fn of(spans_us: impl IntoIterator<Item = u64>) -> Self {
        let Ok(mut histogram) = hdrhistogram::Histogram::<u64>::new_with_max(LONGEST_US, DIGITS)
        else {
            return Self::default();
        };
        for span_us in spans_us {
            histogram.saturating_record(span_us.min(LONGEST_US));
        }
        let quantile = |q| to_ms(histogram.value_at_quantile(q));
        Self {
            count: histogram.len(),
            p50_ms: quantile(0.50),
            p99_ms: quantile(0.99),
            max_ms: to_ms(histogram.max()),
        }
    }
}

/// Milliseconds rounded to microseconds, without the histogram's bucket width.
fn to_ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}
