//! The digest of a zone's live instances, which its aggregators send to other zones.

use damaskvane_core::ids;
use xxhash_rust::xxh3;

use crate::peers::{Heartbeat, Phase};

/// An 8-byte key of one incarnation of an instance. Receivers resolve the key only if they have received a heartbeat
/// of this incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationKey(u64);

impl IncarnationKey {
    /// Returns the key of an incarnation of an instance.
    #[must_use]
    pub fn new(instance: &ids::InstanceId, incarnation: ids::Incarnation) -> Self {
        let hash = xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), incarnation.get());
        Self(hash)
    }

    /// Returns the key as a number for messages.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the key for a number from a message.
    #[must_use]
    pub const fn from_wire(key: u64) -> Self {
        Self(key)
    }

    pub(super) fn of(heartbeat: &Heartbeat) -> Self {
        Self::new(&heartbeat.instance, heartbeat.incarnation)
    }
}

/// The state of one instance by its last heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestEntry {
    /// Key of the instance's incarnation.
    pub key: IncarnationKey,
    /// Serial number of the last heartbeat.
    pub serial: u64,
    /// Phase that the last heartbeat reported.
    pub phase: Phase,
    /// Time since the sender of the digest received the last heartbeat.
    pub age_ms: u64,
}

/// The live instances of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// One entry for each live instance of the zone.
    pub entries: Vec<DigestEntry>,
}
