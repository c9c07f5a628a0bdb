//! The declaration of a backend server.
//!
//! ```
//! use damaskvane_config::declaration;
//!
//! assert!(declaration::BackendServer::KEYS.contains(&"draining"));
//! ```

use std::net;

use damaskvane_core::{ids, units};
use serde::{Deserialize, Serialize};

/// A backend server of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The service that the server runs.
    pub service: ids::ServiceId,
    /// The availability zone of the server.
    pub availability_zone: ids::AvailabilityZoneId,
    /// The address and port on which the server listens.
    pub address: net::SocketAddr,
    /// Maximum number of concurrent requests to the server, from all instances together.
    pub slots: units::Slots,
    /// Maximum number of connections to the server, from all instances together.
    pub connections: u32,
    /// Whether the server gets no new requests.
    #[serde(default)]
    pub draining: bool,
}

impl BackendServer {
    /// The keys that are valid in TOML.
    pub const KEYS: &'static [&'static str] = &[
        "service",
        "availability_zone",
        "address",
        "slots",
        "connections",
        "draining",
    ];

    /// The keys that are required in TOML, since they have no default.
    pub const REQUIRED_KEYS: &'static [&'static str] = &[
        "service",
        "availability_zone",
        "address",
        "slots",
        "connections",
    ];
}
