//! A backend server of the own availability zone as the engine sees it.
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

/// A backend server of the own availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// The service it runs.
    pub service: ids::ServiceId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// How many requests may run on it at a time.
    pub slots: units::Slots,
    /// How many connections it takes.
    pub connections: u32,
    /// Whether it takes no new work.
    pub draining: bool,
}

impl BackendServer {
    /// A backend server with one slot.
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
