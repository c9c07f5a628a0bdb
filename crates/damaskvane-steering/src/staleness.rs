//! How the planner uses a destination zone, by the age of the zone's report on its load and
//! capacity and by the zone's reachability.
//!
//! The decision table covers every combination of age and reachability;
//! `docs/operations/steering.md` lists it.
//!
//! ```
//! use damaskvane_steering::staleness;
//!
//! let decision = staleness::decide(staleness::Age::Old, staleness::Reachability::Connected);
//! assert_eq!(decision, staleness::Decision::Hold);
//! ```

use damaskvane_core::time;

/// Age class of a zone's latest report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Age {
    /// Recent enough to raise and lower the flow to the zone by.
    Fresh,
    /// Too old to raise the flow to the zone by, but recent enough to keep the flow.
    Old,
    /// Too old to use, or no report was received.
    Expired,
}

/// Whether a zone responds to heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// The zone responds.
    Connected,
    /// The zone does not respond.
    Unreachable,
}

/// How the planner uses a destination zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Assign traffic by the capacity in the report.
    Measured,
    /// Assign at most the flow of the previous plan.
    Hold,
    /// Assign traffic by the declared capacity, of which other zones use only the static share: the
    /// part for which they need no grant.
    StaticShare,
    /// Send no new traffic.
    Exclude,
}

/// Age limits of reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Age up to which a report is fresh.
    pub fresh: time::SpanMs,
    /// Age up to which a report is old; an older report has expired.
    pub old: time::SpanMs,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            fresh: time::SpanMs::new(3_000),
            old: time::SpanMs::new(15_000),
        }
    }
}

impl Limits {
    /// Returns the age class of a report taken at `taken_at`; `None` means that no report was
    /// received.
    #[must_use]
    pub fn age(self, taken_at: Option<time::TimeMs>, now: time::TimeMs) -> Age {
        match taken_at.map(|taken_at| now.since(taken_at)) {
            Some(age) if age <= self.fresh => Age::Fresh,
            Some(age) if age <= self.old => Age::Old,
            _ => Age::Expired,
        }
    }
}

/// Returns the steering decision for a destination zone.
///
/// An unreachable zone receives no new traffic, however recent its report is. The report describes
/// the zone before the connection was lost, and clients sent there would wait for a timeout while
/// the report looks healthy.
#[must_use]
pub const fn decide(age: Age, reachability: Reachability) -> Decision {
    match (age, reachability) {
        (_, Reachability::Unreachable) => Decision::Exclude,
        (Age::Fresh, Reachability::Connected) => Decision::Measured,
        (Age::Old, Reachability::Connected) => Decision::Hold,
        (Age::Expired, Reachability::Connected) => Decision::StaticShare,
    }
}
