//! What instances of a zone tell each other of busy servers.
//!
//! A server names its load in each answer. With many instances each of them hears of it about once a second,
//! and a queue grows and shrinks within half of that. Instances of a zone use the same servers first, so they
//! hand on what they hear of those that have a queue.

use damaskvane_core::ids;
use xxhash_rust::xxh3;

use crate::pool::LoadReport;

/// Names a backend server in a few bytes. Two servers that share a key are taken for one: their loads mix, and
/// nothing else depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(u32);

impl ServerKey {
    /// The key of a server.
    #[must_use]
    pub fn of(server: &ids::BackendServerId) -> Self {
        let hash = xxh3::xxh3_64(server.as_str().as_bytes());
        // The lower half is as evenly spread as the whole.
        Self(hash as u32)
    }

    /// The key, for messages.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// A key that came in a message.
    #[must_use]
    pub const fn from_wire(key: u32) -> Self {
        Self(key)
    }
}

/// One server's word on its load, as one instance tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldLoad {
    /// The server.
    pub server: ServerKey,
    /// What it said.
    pub load: LoadReport,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
}
