//! Settings that all backend servers of a service share.

use damaskvane_core::ids;

/// A service and the settings that all its backend servers share.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name by which routes refer to the service.
    pub id: ids::ServiceId,
    /// Path of the health check on each server.
    pub health_path: String,
    /// Maximum number of connections that a server accepts, over all entry instances.
    pub max_connections: u32,
    /// Time after its start for which a server counts as cold and gets few requests.
    pub warmup_ms: u64,
    /// Requests a second that a cold server can handle, over all entry instances.
    pub warmup_per_s: f64,
}
