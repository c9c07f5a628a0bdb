//! Means with intervals over seeds.
//!
//! ```
//! use damaskvane_bench::steering;
//!
//! let interval = steering::Interval::of(&[1.0, 3.0]);
//! assert_eq!(interval.mean, 2.0);
//! ```

use core::fmt;

use serde::Serialize;

use crate::steering::case::Case;
use crate::steering::measure::Measured;

/// The 97.5% quantile of the normal distribution.
const Z: f64 = 1.96;

/// A mean with half the width of its 95% interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval.
    pub half: f64,
}

impl Interval {
    /// The mean of some values.
    #[must_use]
    pub fn of(values: &[f64]) -> Self {
        let count = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let deviation = (squares / (count - 1.0).max(1.0)).sqrt();
        Self {
            mean,
            half: Z * deviation / count.sqrt(),
        }
    }
}

impl fmt::Display for Interval {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&format!("{:.1}±{:.1}", self.mean, self.half))
    }
}

/// One line of the table: a case over all its seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The deployment.
    pub deployment: String,
    /// The fault.
    pub fault: String,
    /// Demand in hundredths of capacity.
    pub load_percent: u32,
    /// How look-ups are answered.
    pub strategy: String,
    /// How many seeds.
    pub seeds: usize,
    /// Median latency.
    pub p50_ms: Interval,
    /// 99th percentile of the latency.
    pub p99_ms: Interval,
    /// Lowest free share of any region.
    pub headroom_percent: Interval,
    /// Requests refused or failed.
    pub refused_percent: Interval,
    /// Those of them that a full zone refused.
    pub shed_percent: Interval,
    /// What could not be carried whatever was decided.
    pub unavoidable_percent: Interval,
    /// Seconds in which a zone was sent more than it carries.
    pub overload_s: Interval,
    /// The most of these in any run.
    pub worst_overload_s: u64,
    /// Plans that broke an invariant.
    pub broken_invariants: u64,
}

impl Row {
    /// The line for the runs of one case.
    #[must_use]
    pub fn of(case: &Case, runs: &[Measured]) -> Self {
        let interval =
            |value: fn(&Measured) -> f64| Interval::of(&runs.iter().map(value).collect::<Vec<_>>());
        Self {
            deployment: case.deployment.to_string(),
            fault: case.fault.to_string(),
            load_percent: case.load_percent,
            strategy: case.strategy.to_string(),
            seeds: runs.len(),
            p50_ms: interval(|run| run.p50_ms),
            p99_ms: interval(|run| run.p99_ms),
            headroom_percent: interval(|run| run.headroom_percent),
            refused_percent: interval(|run| run.refused_percent),
            shed_percent: interval(|run| run.shed_percent),
            unavoidable_percent: interval(|run| run.unavoidable_percent),
            overload_s: interval(|run| run.overload_s as f64),
            worst_overload_s: runs
                .iter()
                .map(|run| run.overload_s)
                .max()
                .unwrap_or_default(),
            broken_invariants: runs.iter().map(|run| run.broken_invariants).sum(),
        }
    }

    /// The head of the table.
    #[must_use]
    pub fn head() -> String {
        format!(
            "{:<10} {:<11} {:>4} {:<11} {:>12} {:>13} {:>12} {:>11} {:>9} {:>11} {:>12}",
            "deployment",
            "fault",
            "load",
            "strategy",
            "p50 ms",
            "p99 ms",
            "headroom %",
            "refused %",
            "shed %",
            "unavoid. %",
            "overload s"
        )
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<10} {:<11} {:>4} {:<11} {:>12} {:>13} {:>12} {:>11} {:>9} {:>11} {:>12}",
            self.deployment,
            self.fault,
            self.load_percent,
            self.strategy,
            self.p50_ms,
            self.p99_ms,
            self.headroom_percent,
            self.refused_percent,
            self.shed_percent,
            self.unavoidable_percent,
            self.overload_s,
        )
    }
}
