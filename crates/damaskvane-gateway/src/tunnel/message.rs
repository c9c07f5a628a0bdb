//! First messages of a tunnel: the request of the instance that needs it, and the reply of the one that carries it.
//! Postcard encodes fields and variants by position.

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_routing::reachability::TunnelRefusal;
use serde::{Deserialize, Serialize};

/// Identifies the protocol and its version in the first message of a tunnel.
pub(crate) const MAGIC: u32 = 0x6476_7431;

/// Request for a connection to a backend server.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct TunnelRequest {
    pub(super) magic: u32,
    pub(super) server: ids::BackendServerId,
    /// Time in which the connection must be established.
    pub(super) timeout_ms: u32,
}

/// Reply to a [`TunnelRequest`]; after [`TunnelReply::Opened`] the stream carries the bytes of the connection.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) enum TunnelReply {
    Opened,
    UnknownServer,
    Draining,
    Evacuated,
    Leaving,
    Busy,
    Partitioned,
    ServerRefused,
    ServerSilent,
    Resting(SpanMs),
}

impl TunnelReply {
    pub(super) const fn of(result: Result<(), TunnelRefusal>) -> Self {
        match result {
            Ok(()) => Self::Opened,
            Err(TunnelRefusal::UnknownServer) => Self::UnknownServer,
            Err(TunnelRefusal::Draining) => Self::Draining,
            Err(TunnelRefusal::Evacuated) => Self::Evacuated,
            Err(TunnelRefusal::Leaving) => Self::Leaving,
            Err(TunnelRefusal::Busy) => Self::Busy,
            Err(TunnelRefusal::Partitioned) => Self::Partitioned,
            Err(TunnelRefusal::ServerRefused) => Self::ServerRefused,
            Err(TunnelRefusal::ServerSilent) => Self::ServerSilent,
            Err(TunnelRefusal::Resting(remaining)) => Self::Resting(remaining),
        }
    }

    pub(super) const fn into_result(self) -> Result<(), TunnelRefusal> {
        Err(match self {
            Self::Opened => return Ok(()),
            Self::UnknownServer => TunnelRefusal::UnknownServer,
            Self::Draining => TunnelRefusal::Draining,
            Self::Evacuated => TunnelRefusal::Evacuated,
            Self::Leaving => TunnelRefusal::Leaving,
            Self::Busy => TunnelRefusal::Busy,
            Self::Partitioned => TunnelRefusal::Partitioned,
            Self::ServerRefused => TunnelRefusal::ServerRefused,
            Self::ServerSilent => TunnelRefusal::ServerSilent,
            Self::Resting(remaining) => TunnelRefusal::Resting(remaining),
        })
    }
}
