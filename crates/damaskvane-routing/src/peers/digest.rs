//! What one zone tells the others of its instances.

use damaskvane_core::ids;
use xxhash_rust::xxh3;

use crate::peers::{Heartbeat, Phase};

/// Names one start of an instance in eight bytes, to those who have heard it before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationKey(u64);

impl IncarnationKey {
    /// The key of a start.
    #[must_use]
    pub fn new(instance: &ids::InstanceId, incarnation: ids::Incarnation) -> Self {
        let hash = xxh3::xxh3_64_with_seed(instance.as_str().as_bytes(), incarnation.get());
        Self(hash)
    }

    /// The key as it travels.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// A key that has travelled.
    #[must_use]
    pub const fn from_wire(key: u64) -> Self {
        Self(key)
    }

    pub(super) fn of(heartbeat: &Heartbeat) -> Self {
        Self::new(&heartbeat.instance, heartbeat.incarnation)
    }
}

/// The last heartbeat of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestEntry {
    /// Which start.
    pub key: IncarnationKey,
    /// The count of its heartbeat.
    pub serial: u64,
    /// Where the instance stood then.
    pub phase: Phase,
    /// How long ago the heartbeat was heard.
    pub age_ms: u64,
}

/// The instances of a zone that are alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// An entry for each.
    pub entries: Vec<DigestEntry>,
}
