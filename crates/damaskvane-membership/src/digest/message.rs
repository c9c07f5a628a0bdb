//! What travels.

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

/// The report of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest<D> {
    /// The zone.
    #[serde(rename = "z")]
    pub zone: ids::AvailabilityZoneId,
    /// The instance that made it.
    #[serde(rename = "b")]
    pub author: ids::InstanceId,
    /// Rises with every digest of the zone, whoever makes it.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// The time since it was made, as far as it was held by instances on its way.
    #[serde(rename = "a")]
    pub age: time::SpanMs,
    /// What it says.
    #[serde(rename = "d")]
    pub body: D,
}

/// Digests that travel in one message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DigestBundle<D>(pub Vec<Digest<D>>);
