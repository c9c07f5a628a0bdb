//! Decides whether this instance carries a tunnel for another one.

use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::pool::{ServerPool, ServerState};
use crate::reachability::Reach;

/// Why an instance does not carry a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelRefusal {
    /// The instance does not know the server.
    UnknownServer,
    /// The server takes no new requests, as far as the instance knows.
    Draining,
    /// The server wants no request from the instance for this time.
    Resting(SpanMs),
    /// The server's availability zone is evacuated, as far as the instance knows.
    Evacuated,
    /// The instance is stopping.
    Leaving,
    /// The instance carries as many tunnels as it may.
    Busy,
    /// The instance may itself be partitioned from the servers.
    Partitioned,
    /// The server refused the connection.
    ServerRefused,
    /// The connection to the server was not established in time.
    ServerSilent,
}

impl TunnelRefusal {
    /// Returns the label for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UnknownServer => "unknown_server",
            Self::Draining => "draining",
            Self::Resting(_) => "resting",
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::Busy => "busy",
            Self::Partitioned => "partitioned",
            Self::ServerRefused => "refused",
            Self::ServerSilent => "no_answer",
        }
    }

    /// Returns whether another instance may carry the tunnel.
    #[must_use]
    pub const fn is_of_peer(self) -> bool {
        matches!(
            self,
            Self::UnknownServer | Self::Leaving | Self::Busy | Self::Partitioned | Self::Resting(_)
        )
    }
}

/// The state of an instance that is asked to carry a tunnel.
#[derive(Debug, Clone, Copy)]
pub struct Carrier {
    /// The current time of the instance.
    pub now: TimeMs,
    /// Whether the instance is stopping.
    pub is_leaving: bool,
    /// Whether the instance reaches the servers.
    pub reach: Reach,
    /// Whether the instance itself needs a tunnel to the server.
    pub needs_tunnel: bool,
    /// Number of tunnels that the instance carries.
    pub tunnels: usize,
    /// Largest number of tunnels that it may carry.
    pub max_tunnels: usize,
}

impl Carrier {
    /// Returns the address of the server to which the tunnel leads, by this instance's own list of servers.
    ///
    /// The tunnel ends at the server itself: an instance that needs a tunnel carries none, so that no bytes pass through
    /// two instances or return to the first one.
    ///
    /// # Errors
    ///
    /// Returns the reason why the instance does not carry the tunnel.
    pub fn admit(
        &self,
        pool: &ServerPool,
        server: &ids::BackendServerId,
    ) -> Result<net::SocketAddr, TunnelRefusal> {
        if self.is_leaving {
            return Err(TunnelRefusal::Leaving);
        }
        if self.reach != Reach::Direct || self.needs_tunnel {
            return Err(TunnelRefusal::Partitioned);
        }
        if self.tunnels >= self.max_tunnels {
            return Err(TunnelRefusal::Busy);
        }
        let server = pool.server(server).ok_or(TunnelRefusal::UnknownServer)?;
        if server.entry.state == ServerState::Draining || server.availability.is_leaving() {
            return Err(TunnelRefusal::Draining);
        }
        let rest = server.availability.rest;
        if rest.is_resting(self.now) {
            return Err(TunnelRefusal::Resting(rest.remaining(self.now)));
        }
        let zone = pool.topology().zone(&server.entry.zone);
        if zone.is_some_and(|zone| pool.is_evacuated(zone)) {
            return Err(TunnelRefusal::Evacuated);
        }
        Ok(server.entry.address)
    }
}
