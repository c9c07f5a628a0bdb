//! The digest of a zone's live instances, which the zone's aggregators send to other zones.
//!
//! A heartbeat is the message by which an instance reports that it is alive. An aggregator is an instance that sends
//! messages to other zones for its own zone. An incarnation is one start of an instance's process.

use damaskvane_core::ids;

use crate::peers::{Heartbeat, Phase};
use crate::seeded_hash;

/// An 8-byte hash that identifies one incarnation of an instance in messages. A receiver can match the key with the
/// instance only if it has received a heartbeat of this incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationKey(u64);

impl IncarnationKey {
    /// Returns the key of an incarnation of an instance.
    #[must_use]
    pub fn new(instance: &ids::InstanceId, incarnation: ids::Incarnation) -> Self {
        Self(seeded_hash::of_name(instance.as_str(), incarnation.get()))
    }

    /// Returns the key as a number, for use in a message.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the key whose number was received in a message.
    #[must_use]
    pub const fn from_wire(key: u64) -> Self {
        Self(key)
    }

    pub(super) fn of(heartbeat: &Heartbeat) -> Self {
        Self::new(&heartbeat.instance, heartbeat.incarnation)
    }
}

/// The state of one instance according to its last heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestEntry {
    /// Key of the instance's incarnation.
    pub key: IncarnationKey,
    /// Serial number of the last heartbeat, counted from the start of the incarnation.
    pub serial: u64,
    /// Phase that the last heartbeat reported: starting, ready or leaving.
    pub phase: Phase,
    /// Time from the receipt of the last heartbeat by the sender of the digest to the creation of the digest.
    pub age_ms: u64,
}

/// The live instances of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// One entry for each live instance of the zone.
    pub entries: Vec<DigestEntry>,
}
