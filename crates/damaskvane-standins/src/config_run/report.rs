//! What a run saw, or what it found broken.
//!
//! ```
//! use damaskvane_standins::config_run;
//!
//! assert_eq!(config_run::RunReport::default().accepted, 0);
//! ```

use serde::Serialize;

/// Counts of a run in which everything held.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RunReport {
    /// The seed.
    pub seed: u64,
    /// Instances at the end.
    pub instances: usize,
    /// Accepted tickets.
    pub accepted: u64,
    /// Submissions that were told they are accepted.
    pub told_accepted: u64,
    /// Submissions refused since an object had changed.
    pub refused_overlapping: u64,
    /// Submissions refused since they weren't valid with what had landed.
    pub refused_invalid: u64,
    /// Submissions that ended for want of the store, proven not accepted.
    pub not_accepted: u64,
    /// Submissions whose fate was not learnt.
    pub unknown: u64,
    /// Answers of the store that were lost after the write.
    pub lost_after: u64,
    /// Writes that took effect late.
    pub late_writes: u64,
    /// Instances replaced by empty ones.
    pub replaced: u64,
    /// Store calls by instances.
    pub instance_store_calls: u64,
    /// Messages between instances.
    pub messages: u64,
    /// The median, over tickets and instances, from acceptance to in force.
    #[serde(rename = "in_force_p50_ms")]
    pub activation_p50_ms: u64,
    /// The 99th percentile of the same.
    #[serde(rename = "in_force_p99_ms")]
    pub activation_p99_ms: u64,
    /// The longest of the same.
    pub in_force_max_ms: u64,
    /// Virtual time from the end of all faults until the newest ticket was in force everywhere.
    pub healed_ms: u64,
}

/// seed {seed}, {at_ms} ms: {what}; run it again with this seed to find the cause
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct Broken {
    /// The seed.
    pub seed: u64,
    /// The virtual time.
    pub at_ms: u64,
    /// What didn't hold.
    pub what: String,
}
