//! Digest messages that instances exchange.

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

/// A report on one zone, made by one of its instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest<D> {
    /// Zone that the digest describes.
    #[serde(rename = "z")]
    pub zone: ids::AvailabilityZoneId,
    /// Instance that created the digest.
    #[serde(rename = "b")]
    pub author: ids::InstanceId,
    /// Sequence number, which increases with every digest of the zone, whichever instance creates the
    /// digest.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Time that the digest has spent at instances since it was created; transmission time is not
    /// included.
    #[serde(rename = "a")]
    pub age: time::SpanMs,
    /// Content of the digest, defined by the caller.
    #[serde(rename = "d")]
    pub body: D,
}

/// Digests that are sent in one message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DigestBundle<D>(pub Vec<Digest<D>>);
