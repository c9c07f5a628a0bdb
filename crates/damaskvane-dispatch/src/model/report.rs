//! The result of a randomised run.
//!
//! ```
//! use damaskvane_dispatch::model;
//!
//! assert_eq!(model::Report::default().runs, 0);
//! ```

use std::collections;

/// The counters of a run, and the violated guarantees.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The number of events that were handled.
    pub steps: u64,
    /// The number of requests that clients began.
    pub requests: u64,
    /// The number of requests that a backend server ran.
    pub runs: u64,
    /// The number of answers, by the label of the outcome and the reason.
    pub answers: collections::BTreeMap<String, u64>,
    /// The number of faults, by kind: kills, pauses, planned restarts and renewals.
    pub faults: collections::BTreeMap<&'static str, u64>,
    /// Descriptions of the violated guarantees; empty in a correct run.
    pub violations: Vec<String>,
}
