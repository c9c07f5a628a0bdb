//! Backend servers.
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
    /// The service it runs.
    pub service: ids::ServiceId,
    /// The availability zone it stands in.
    pub availability_zone: ids::AvailabilityZoneId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// How many requests may run on it at a time, from all instances together.
    pub slots: units::Slots,
    /// How many connections it takes, from all instances together.
    pub connections: u32,
    /// Whether it takes no new work.
    #[serde(default)]
    pub draining: bool,
}

impl BackendServer {
    /// The keys of the TOML form.
    pub const KEYS: &'static [&'static str] = &[
        "service",
        "availability_zone",
        "address",
        "slots",
        "connections",
        "draining",
    ];

    /// The keys without a default.
    pub const REQUIRED_KEYS: &'static [&'static str] = &[
        "service",
        "availability_zone",
        "address",
        "slots",
        "connections",
    ];
}
