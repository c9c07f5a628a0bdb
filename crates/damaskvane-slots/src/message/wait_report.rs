//! What a new owner has to wait for, as another instance reports it.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders.

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

/// An incarnation that may not know of its replacement, as an instance reports it to a claimant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopReport {
    /// The instance.
    #[serde(rename = "i")]
    pub instance: ids::InstanceId,
    /// The incarnation that was fenced or dropped from the platform's list, or that has ended.
    #[serde(rename = "n")]
    pub incarnation: ids::Incarnation,
    /// Time until the incarnation has certainly stopped; zero if it has.
    #[serde(rename = "w")]
    pub wait_ms: time::SpanMs,
}

/// What the next owner of a backend server has to wait for, as far as the sender knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitReport {
    /// Time for which grants and requests that the sender does not report may be in use.
    #[serde(rename = "w")]
    pub wait_ms: time::SpanMs,
    /// Incarnations whose grants and requests expire only after they have stopped.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub stops: Vec<StopReport>,
}
