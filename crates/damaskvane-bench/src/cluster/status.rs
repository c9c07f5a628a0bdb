//! An instance's own state as operators read it.
//!
//! ```
//! use damaskvane_bench::cluster;
//!
//! let status: cluster::EntryStatus = serde_json::from_str(r#"{"config_version":3}"#)?;
//! assert_eq!(status.config_version, 3);
//! # Ok::<(), serde_json::Error>(())
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Messages and bytes of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Traffic {
    /// How many messages.
    pub messages: u64,
    /// How many bytes.
    pub bytes: u64,
}

/// Traffic by kind, both ways.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// What it sent.
    pub sent: BTreeMap<String, Traffic>,
    /// What it received.
    pub received: BTreeMap<String, Traffic>,
}

/// The part of an instance's state that experiments read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EntryStatus {
    /// Its name.
    pub instance: String,
    /// Which life of it.
    pub incarnation: u64,
    /// The configuration in force.
    pub config_version: u64,
    /// Since its start, in milliseconds.
    pub uptime_ms: u64,
    /// Processor time used since its start, in milliseconds.
    pub cpu_ms: u64,
    /// Memory that it holds.
    pub rss_bytes: u64,
    /// Control traffic since its start.
    pub control: Control,
    /// Its counters.
    pub counters: BTreeMap<String, u64>,
    /// Everything else.
    #[serde(flatten)]
    pub rest: BTreeMap<String, serde_json::Value>,
}

impl EntryStatus {
    /// Bytes sent and received in all kinds.
    #[must_use]
    pub fn control_bytes(&self) -> (u64, u64) {
        let sum = |kinds: &BTreeMap<String, Traffic>| kinds.values().map(|kind| kind.bytes).sum();
        (sum(&self.control.sent), sum(&self.control.received))
    }
}
