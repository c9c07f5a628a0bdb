//! Results of a run: counters, or the violated invariant.
//!
//! ```
//! use damaskvane_standins::config_run;
//!
//! assert_eq!(config_run::RunReport::default().accepted, 0);
//! ```

use serde::Serialize;

/// The counters and times of a run without a violated invariant.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RunReport {
    /// The seed that the run was started with.
    pub seed: u64,
    /// Instances at the end of the run.
    pub instances: usize,
    /// Tickets that the store accepted.
    pub accepted: u64,
    /// Submissions that were reported as accepted to their operator.
    #[serde(rename = "told_accepted")]
    pub reported_accepted: u64,
    /// Submissions rejected because an object had changed since the draft.
    pub refused_overlapping: u64,
    /// Submissions rejected because they are invalid together with tickets accepted since the draft.
    pub refused_invalid: u64,
    /// Submissions that failed because of the store and are known not to be accepted.
    pub not_accepted: u64,
    /// Submissions whose outcome the operator could not determine.
    pub unknown: u64,
    /// Store responses that were lost after the write took effect.
    #[serde(rename = "lost_after")]
    pub lost_responses: u64,
    /// Store writes that arrived after their caller had stopped waiting.
    pub late_writes: u64,
    /// Instances that were replaced by an empty one.
    pub replaced: u64,
    /// Store reads by instances.
    pub instance_store_calls: u64,
    /// Messages sent between instances, including lost ones.
    pub messages: u64,
    /// The median time from the acceptance of a ticket until it is active on an instance, over all
    /// tickets and instances.
    #[serde(rename = "in_force_p50_ms")]
    pub activation_p50_ms: u64,
    /// The 99th percentile of the time from acceptance until active.
    #[serde(rename = "in_force_p99_ms")]
    pub activation_p99_ms: u64,
    /// The maximum time from acceptance until active.
    #[serde(rename = "in_force_max_ms")]
    pub activation_max_ms: u64,
    /// The virtual time from the end of all faults until the newest ticket was active on every instance.
    pub healed_ms: u64,
}

/// seed {seed}, {at_ms} ms: {violation}; run again with this seed to reproduce the violation
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct InvariantViolation {
    /// The seed that the run was started with.
    pub seed: u64,
    /// The virtual time of the violation, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// A description of the violated invariant.
    pub violation: String,
}
