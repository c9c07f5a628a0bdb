//! What a backend server says of itself in the platform's store.

use std::net;

use damaskvane_core::ids;

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// A backend server's own entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// Its name; a new start mostly has a new one.
    pub id: ids::BackendServerId,
    /// The service it belongs to.
    pub service: ids::ServiceId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: ids::AvailabilityZoneId,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How much longer it was cold when it wrote the entry.
    pub warmup_left_ms: u64,
    /// When it started, by its own clock; only compared with another start of the same name.
    pub started_unix_ms: u64,
    /// Counts its entries since that start.
    pub sequence: u64,
}

impl ServerEntry {
    /// Whether this entry was written before the other one of the same server.
    ///
    /// A write that was held up can land after a later one; taken as news it would make a server that has
    /// left look ready again.
    #[must_use]
    pub const fn is_older_than(&self, other: &Self) -> bool {
        self.started_unix_ms < other.started_unix_ms
            || (self.started_unix_ms == other.started_unix_ms && self.sequence < other.sequence)
    }
}
