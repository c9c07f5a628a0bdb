//! Heartbeats that neighbouring instances exchange.
//!
//! The neighbours of an instance are those instances of its zone with which it exchanges heartbeats.
//! The envelope around every message carries the sender's id and incarnation (one start of its
//! process). Field names are one letter long on the wire: with 18 instances in a zone, one more byte
//! costs each instance 14 bytes a second.
//!
//! ```
//! use damaskvane_membership::heartbeat;
//!
//! let load = heartbeat::LoadSummary::default();
//! assert_eq!(load.running.get(), 0);
//! ```

use damaskvane_core::{ids, time, units};
use serde::{Deserialize, Serialize};

/// Load of an instance, as reported in its heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Requests of the instance that are running on backend servers.
    #[serde(rename = "r", default)]
    pub running: units::Slots,
    /// Clients' requests that arrived at the instance in the last second.
    #[serde(rename = "q", default)]
    pub arrivals: units::RequestsPerSecond,
    /// Clients' requests that the instance refused in the last second.
    #[serde(rename = "x", default)]
    pub refused: units::RequestsPerSecond,
}

/// A heartbeat to one neighbour.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of the sender's round of heartbeats; increases with every round of one incarnation.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Sequence number of the last heartbeat that the sender received from the neighbour.
    ///
    /// This echo confirms to the neighbour that its heartbeats arrive; the heartbeats that the
    /// neighbour receives don't prove that. Absent if the sender received no heartbeat from the
    /// neighbour, or the neighbour has left the platform's list of instances.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<u64>,
    /// Incarnation (start of the process) of the neighbour that sent the echoed heartbeat.
    ///
    /// Each incarnation numbers its heartbeats from the start: without this, one that starts again would
    /// take the echo of an earlier heartbeat for its own. Absent in heartbeats of earlier versions.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub echoed_incarnation: Option<ids::Incarnation>,
    /// Time until the sender's next round of heartbeats.
    #[serde(rename = "p")]
    pub period_ms: time::SpanMs,
    /// Version of the configuration in effect at the sender.
    #[serde(rename = "v")]
    pub config_version: ids::ConfigVersion,
    /// Whether the sender is about to stop as planned.
    #[serde(rename = "l", default, skip_serializing_if = "core::ops::Not::not")]
    pub leaving: bool,
    /// Whether the sender is not on the platform's list yet, or started so recently that instances which
    /// were fenced before may still act without its knowledge.
    #[serde(rename = "b", default, skip_serializing_if = "core::ops::Not::not")]
    pub is_starting: bool,
    /// Time since the sender last reached the platform; absent if it never reached the platform.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub platform_age_ms: Option<time::SpanMs>,
    /// Incarnation (start of the process) of the neighbour that the platform's list named as not fenced
    /// when the sender last read it, `platform_age_ms` ago.
    ///
    /// Absent unless the neighbour reported that it may be cut off from the platform, to keep heartbeats
    /// small, and unless this heartbeat has an echo.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub listed_incarnation: Option<ids::Incarnation>,
    /// Load of the sender.
    #[serde(rename = "w", default)]
    pub load: LoadSummary,
}
