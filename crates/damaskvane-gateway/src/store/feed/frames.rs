//! Messages of the relay stream.
//!
//! Over a relay stream one instance, the relay, sends the store's changes to another instance, the subscriber. A
//! collection is the set of the store's objects of one kind.

use std::io;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::adapter::Collection;
use crate::store::FOLLOWED_COLLECTIONS;

/// Identifies the protocol and its version in the first message of a stream.
pub(crate) const MAGIC: u32 = 0x6476_6636;

/// First message of a subscriber: the last revision of each collection that the subscriber has applied.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) magic: u32,
    pub(super) revisions: [u64; FOLLOWED_COLLECTIONS.len()],
    /// First number that the source echoes, as in [`Echo`].
    pub(super) echo: Echo,
}

/// A number that a subscriber sends, and that its source returns with the next report of an age.
///
/// The subscriber counts the age from the moment at which it sent the number: how long a report was on its way can't be
/// known otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Echo(pub(super) u32);

/// Proof that the sender's configuration was the newest one, as far as the recipient has received it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct EvidenceFrame {
    pub(super) revision: u64,
    pub(super) age_ms: u64,
}

/// A message from a relay to a subscriber.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Frame {
    /// Reports the time since the store's last response, in milliseconds.
    Alive {
        store_age_ms: u64,
        /// Key of the incarnation (one start of an instance's process) that received this response; `None` if no
        /// response is known.
        answered: Option<u64>,
        /// The last number that the subscriber sent.
        echo: Echo,
        /// Proof that the configuration is the newest one; `None` if the sender has none.
        evidence: Option<EvidenceFrame>,
    },
    /// Changes of a collection.
    Changes {
        collection: u8,
        from: u64,
        to: u64,
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// A whole collection, for a subscriber that lacks more changes than the relay retains.
    Listing {
        collection: u8,
        revision: u64,
        pages: Vec<serde_bytes::ByteBuf>,
        changes: Vec<serde_bytes::ByteBuf>,
    },
    /// The relay no longer has the changes that the subscriber lacks.
    Gone { collection: u8 },
}

pub(super) fn to_wire(bodies: &[Bytes]) -> Vec<serde_bytes::ByteBuf> {
    bodies.iter().map(|body| body.to_vec().into()).collect()
}

pub(super) fn from_wire(bodies: Vec<serde_bytes::ByteBuf>) -> Vec<Bytes> {
    let bodies = bodies.into_iter();
    bodies.map(|body| Bytes::from(body.into_vec())).collect()
}

pub(super) fn collection_of(number: u8) -> io::Result<Collection> {
    let found = FOLLOWED_COLLECTIONS.get(usize::from(number)).copied();
    found.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
