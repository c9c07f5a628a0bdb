//! The entry that a backend server writes periodically to the platform's store.
//!
//! A server is cold after its start, and warm when its warm-up time is over.

use std::net;

use damaskvane_core::ids;

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts new requests.
    Ready,
    /// The server finishes its requests in progress and accepts no new ones.
    Draining,
}

/// The data that a backend server reports about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// Name of the server; a restarted server usually has a new name.
    pub id: ids::BackendServerId,
    /// Service whose requests the server runs.
    pub service: ids::ServiceId,
    /// Address on which the server accepts connections.
    pub address: net::SocketAddr,
    /// Availability zone in which the server runs.
    pub zone: ids::AvailabilityZoneId,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// Remaining warm-up time when the server wrote the entry; 0 if the server was warm.
    pub warmup_left_ms: u64,
    /// Start time by the server's own clock; only compared with other entries of the same name.
    pub started_unix_ms: u64,
    /// Serial number of the entry among the entries that the server has written since its start.
    pub sequence: u64,
}

impl ServerEntry {
    /// Returns whether this entry was written before `other`, an entry of the same server.
    ///
    /// A delayed write can reach the store after a later one. If the older entry were applied last, a draining server
    /// would seem ready again.
    #[must_use]
    pub const fn is_older_than(&self, other: &Self) -> bool {
        self.started_unix_ms < other.started_unix_ms
            || (self.started_unix_ms == other.started_unix_ms && self.sequence < other.sequence)
    }
}
