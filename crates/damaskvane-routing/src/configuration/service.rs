//! One service, as far as its backend servers have it in common.

use damaskvane_core::ids;

/// What holds for every backend server of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub id: ids::ServiceId,
    /// The path that answers for a server's health.
    pub health_path: String,
    /// Most connections a server takes from all instances together.
    pub max_connections: u32,
    /// How long a server is cold after its start.
    pub warmup_ms: u64,
    /// The requests a second that a cold server bears, from all instances together.
    pub warmup_per_s: f64,
}
