//! The engine's record of a backend server in the local availability zone.
//!
//! ```
//! use damaskvane_engine::directory;
//!
//! let server = directory::BackendServer::new("rider-desk".parse()?, ([127, 0, 0, 1], 9000).into());
//! assert!(!server.draining);
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use std::net;

use damaskvane_core::{ids, units};

/// The declared properties of a backend server in the local availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// The service that the backend server runs.
    pub service: ids::ServiceId,
    /// The address that the backend server listens on.
    pub address: net::SocketAddr,
    /// The maximum number of requests that may run on the backend server at the same time.
    pub slots: units::Slots,
    /// The maximum number of connections to the backend server from all entry instances of the zone together.
    pub connections: u32,
    /// Whether the configuration drains the backend server, so that it gets no new requests.
    pub draining: bool,
}

impl BackendServer {
    /// Creates a backend server with one slot and one connection that is not draining.
    #[must_use]
    pub const fn new(service: ids::ServiceId, address: net::SocketAddr) -> Self {
        Self {
            service,
            address,
            slots: units::Slots::new(1),
            connections: 1,
            draining: false,
        }
    }
}
