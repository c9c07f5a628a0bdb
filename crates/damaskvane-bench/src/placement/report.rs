//! A line of the table: a case over all its seeds.

use core::fmt;

use serde::Serialize;

use crate::placement::case::Case;
use crate::placement::measure::Measured;
use crate::steering::Interval;

/// A line of the table; shares are in hundredths.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// How the load behaves.
    pub pattern: String,
    /// Requests, in hundredths of a calm day's.
    pub load_percent: u32,
    /// How servers are chosen.
    pub policy: String,
    /// How many seeds.
    pub seeds: usize,
    /// Worth earned of what was owed.
    pub worth: Interval,
    /// Of the worst kind of request.
    pub worst_kind: Interval,
    /// Of the worst zone of callers.
    pub worst_zone: Interval,
    /// Of the worst two seconds.
    pub worst_window: Interval,
    /// Requests answered within their objective.
    pub in_time: Interval,
    /// Requests answered later.
    pub late: Interval,
    /// Requests that ended refused.
    pub refused: Interval,
    /// Requests that got no answer in time.
    pub timed_out: Interval,
    /// Tries that a server turned away, for each request.
    pub shed: Interval,
    /// Answers from another region than the caller's.
    pub moved: Interval,
    /// The largest share of a region's requests that changed the region in which they run within two seconds.
    pub shift: Interval,
}

impl Row {
    /// The line of a case.
    #[must_use]
    pub fn of(case: &Case, runs: &[Measured]) -> Self {
        let share = |of: fn(&Measured) -> f64| {
            let values: Vec<f64> = runs.iter().map(|run| of(run) * 100.0).collect();
            Interval::of(&values)
        };
        let part = |of: fn(&Measured) -> u64| {
            let values = runs
                .iter()
                .map(|run| of(run) as f64 * 100.0 / run.requests.max(1) as f64);
            Interval::of(&values.collect::<Vec<_>>())
        };
        Self {
            pattern: case.pattern.to_string(),
            load_percent: case.load_percent,
            policy: case.policy.to_string(),
            seeds: runs.len(),
            worth: share(Measured::worth),
            worst_kind: share(Measured::worst_kind),
            worst_zone: share(Measured::worst_zone),
            worst_window: share(Measured::worst_window),
            in_time: part(|run| run.in_time),
            late: part(|run| run.late),
            refused: part(|run| run.refused),
            timed_out: part(|run| run.timed_out),
            shed: part(|run| run.shed),
            moved: part(|run| run.moved),
            shift: share(Measured::largest_shift),
        }
    }

    /// The table's head.
    #[must_use]
    pub fn head() -> String {
        format!(
            "{:<8} {:>4} {:<22} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10}",
            "pattern",
            "load",
            "policy",
            "worth",
            "kind",
            "zone",
            "2 s",
            "in time",
            "late",
            "refused",
            "timed out",
            "shed",
            "moved",
            "shift"
        )
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<8} {:>4} {:<22} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10}",
            self.pattern,
            self.load_percent,
            self.policy,
            self.worth,
            self.worst_kind,
            self.worst_zone,
            self.worst_window,
            self.in_time,
            self.late,
            self.refused,
            self.timed_out,
            self.shed,
            self.moved,
            self.shift,
        )
    }
}
