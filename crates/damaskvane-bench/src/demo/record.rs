//! What a run of the demo left to be judged.
//!
//! ```
//! use damaskvane_bench::demo;
//!
//! assert!(demo::Record::default().given.is_empty());
//! ```

use std::collections::BTreeMap;

use damaskvane_standins::backend;

use crate::client::Given;
use crate::cluster::Placement;
use crate::demo::{ShareSample, VersionSample};

/// One ticket of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketRecord {
    /// What it was for.
    pub reason: &'static str,
    /// When the store accepted it, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// From there until it was in force everywhere; none if it never was.
    pub in_force_ms: Option<u64>,
    /// The instances that never had it.
    pub missing: Vec<String>,
}

/// The planned stop of one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StopRecord {
    /// The instance.
    pub instance: String,
    /// When it was told, in milliseconds since the Unix epoch.
    pub told_unix_ms: u64,
    /// When it had ended.
    pub ended_unix_ms: u64,
    /// Its exit code; none if it did not end by itself.
    pub exit_code: Option<i32>,
    /// When its successor served.
    pub back_unix_ms: u64,
}

/// What a run left to be judged.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// From the first configuration in force until every instance served, in milliseconds.
    pub first_served_ms: u64,
    /// What each request was answered.
    pub given: Vec<Given>,
    /// What ran.
    pub executions: Vec<backend::Execution>,
    /// The servers' counters at the end.
    pub stats: BTreeMap<String, backend::ServerStats>,
    /// The backend server that was drained.
    pub drained: Placement,
    /// The tickets in order.
    pub tickets: Vec<TicketRecord>,
    /// The share of the shifted zone's look-ups that the other zone got.
    pub shares: Vec<ShareSample>,
    /// The configuration versions seen.
    pub versions: Vec<VersionSample>,
    /// The most slots running at once by region.
    pub peaks: BTreeMap<String, u64>,
    /// The planned stop.
    pub stop: StopRecord,
    /// When an instance was killed, in milliseconds since the Unix epoch.
    pub killed_unix_ms: u64,
    /// From the restart during the outage until a configuration was in force; none if it waited for the
    /// store.
    pub booted_without_store_ms: Option<u64>,
    /// When the store was cut and when it came back.
    pub outage_unix_ms: (u64, u64),
    /// The largest number of processes of the run.
    pub processes: usize,
    /// The largest sum of the resident memory of these processes.
    pub resident_bytes: u64,
}
