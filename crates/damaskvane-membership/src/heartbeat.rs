//! What an instance tells its neighbours of itself, and what it heard of them.
//!
//! The sender's name and incarnation travel in the envelope around every message. The names of fields are
//! one letter each on the wire: with 18 instances in a zone a byte here is 14 bytes a second for each.
//!
//! ```
//! use damaskvane_membership::heartbeat;
//!
//! let load = heartbeat::LoadSummary::default();
//! assert_eq!(load.running.get(), 0);
//! ```

use damaskvane_core::{ids, time, units};
use serde::{Deserialize, Serialize};

/// How loaded an instance is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Requests that it has running on backend servers.
    #[serde(rename = "r", default)]
    pub running: units::Slots,
    /// Requests that arrived in the last second.
    #[serde(rename = "q", default)]
    pub arrivals: units::RequestsPerSecond,
    /// Requests that were refused in the last second.
    #[serde(rename = "x", default)]
    pub refused: units::RequestsPerSecond,
}

/// One heartbeat to one neighbour.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Rises with every round of heartbeats of one incarnation.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// The sequence of the neighbour's last heartbeat that arrived.
    ///
    /// It tells the neighbour that it is heard; hearing others is no sign of that.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<u64>,
    /// The time until the next round.
    #[serde(rename = "p")]
    pub period_ms: time::SpanMs,
    /// The version of the configuration in force at the sender.
    #[serde(rename = "v")]
    pub config_version: ids::ConfigVersion,
    /// Whether the sender is about to stop.
    #[serde(rename = "l", default, skip_serializing_if = "core::ops::Not::not")]
    pub leaving: bool,
    /// The time since the sender last reached the platform; left out while it never did.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub platform_age_ms: Option<time::SpanMs>,
    /// How loaded the sender is.
    #[serde(rename = "w", default)]
    pub load: LoadSummary,
}
