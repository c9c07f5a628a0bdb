//! What instances of a zone tell each other of busy and unwell servers.
//!
//! A server names its load in each answer. With many instances each of them hears of it about once a second,
//! and a queue grows and shrinks within half of that. Instances of a zone use the same servers first, so they
//! hand on what they hear of those that have a queue. In a large fleet one instance sends a server a request every
//! few seconds, too few to find out by itself that it turned slow or fails, so they hand that on too.

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

/// What one instance tells another of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerServerReport {
    /// The server.
    pub server: ServerKey,
    /// What it said of its load, where it has a queue or no longer has one.
    pub load: Option<LoadReport>,
    /// How much longer than usual it takes, and the share of its exchanges that failed, where the teller has found it
    /// slow or failing, or no longer so.
    pub health: Option<PeerHealthReport>,
    /// How long ago that was, in milliseconds.
    pub age_ms: u64,
}

/// How a server does, by what one instance saw of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerHealthReport {
    /// How much longer than usual it takes; 1 is usual.
    pub slowness: f64,
    /// The share of its exchanges that failed.
    pub failure_share: f64,
}
