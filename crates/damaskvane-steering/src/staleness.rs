//! Which decision holds at which age of a report.
//!
//! The table is complete: each age meets each reach, and `docs/operations/steering.md` prints it.
//!
//! ```
//! use damaskvane_steering::staleness;
//!
//! let decision = staleness::decide(staleness::Age::Old, staleness::Reachability::Connected);
//! assert_eq!(decision, staleness::Decision::Hold);
//! ```

use damaskvane_core::time;

/// How old the latest report of a zone is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Age {
    /// Young enough to steer by.
    Fresh,
    /// Too old to act on, young enough to keep to.
    Old,
    /// Too old to mean anything, or never received.
    Expired,
}

/// Whether a zone answers heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It answers.
    Connected,
    /// It does not.
    Unreachable,
}

/// What the planner does with a destination zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Steer by the report.
    Measured,
    /// Keep at most what was planned; raise nothing.
    Hold,
    /// Use the static share of the declared capacity.
    StaticShare,
    /// Send nothing new.
    Exclude,
}

/// The ages at which a report changes class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// A report up to this age is fresh.
    pub fresh: time::SpanMs,
    /// A report up to this age is old; beyond it is gone.
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
    /// The class of a report taken at a point in time; none received is gone.
    #[must_use]
    pub fn age(self, taken_at: Option<time::TimeMs>, now: time::TimeMs) -> Age {
        match taken_at.map(|taken_at| now.since(taken_at)) {
            Some(age) if age <= self.fresh => Age::Fresh,
            Some(age) if age <= self.old => Age::Old,
            _ => Age::Expired,
        }
    }
}

/// The decision for a destination zone.
///
/// A zone that does not answer gets nothing new however young its numbers are: they were true before
/// the cut, and clients sent there would wait for a time-out. One would notice requests that hang
/// while the digests look healthy.
#[must_use]
pub const fn decide(age: Age, reachability: Reachability) -> Decision {
    match (age, reachability) {
        (_, Reachability::Unreachable) => Decision::Exclude,
        (Age::Fresh, Reachability::Connected) => Decision::Measured,
        (Age::Old, Reachability::Connected) => Decision::Hold,
        (Age::Expired, Reachability::Connected) => Decision::StaticShare,
    }
}
