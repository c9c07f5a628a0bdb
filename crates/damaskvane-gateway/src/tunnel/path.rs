//! The way by which a connection reaches a backend server.

use std::net;

use damaskvane_core::ids;

/// The instance that carries a tunnel.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub instance: ids::InstanceId,
    /// Address at which the instance receives messages.
    pub address: net::SocketAddr,
    /// Availability zone of the instance.
    pub zone: ids::AvailabilityZoneId,
    /// Region of the instance; `None` if the settings don't name it.
    pub region: Option<ids::RegionId>,
}

/// The way by which a connection reaches a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Path {
    /// This instance opened the connection to the server.
    Direct,
    /// Another instance opened the connection and copies its bytes.
    Tunnel(Peer),
}

impl Path {
    /// Returns the instance that carries the connection, or `None` if none does.
    #[must_use]
    pub const fn peer(&self) -> Option<&Peer> {
        match self {
            Self::Direct => None,
            Self::Tunnel(peer) => Some(peer),
        }
    }
}
