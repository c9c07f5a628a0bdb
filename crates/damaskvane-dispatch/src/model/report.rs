//! What a randomised run found.
//!
//! ```
//! use damaskvane_dispatch::model;
//!
//! assert_eq!(model::Report::default().runs, 0);
//! ```

use std::collections;

/// Counts of a run, and each broken promise.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Events that were handled.
    pub steps: u64,
    /// Requests that clients began.
    pub requests: u64,
    /// Requests that ran at a backend server.
    pub runs: u64,
    /// Answers by outcome word and reason.
    pub answers: collections::BTreeMap<String, u64>,
    /// Kills, pauses, planned restarts and renewals.
    pub faults: collections::BTreeMap<&'static str, u64>,
    /// Broken promises; empty if all is well.
    pub violations: Vec<String>,
}
