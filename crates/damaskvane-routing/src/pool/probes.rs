//! Health probes of servers that must prove themselves.

use std::net;

use damaskvane_core::ids;

/// A probe that is to be sent now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueProbe {
    /// The server.
    pub server: ids::BackendServerId,
    /// Its address.
    pub address: net::SocketAddr,
    /// The path to ask.
    pub health_path: String,
}

/// What a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server itself answered that it is well.
    Healthy {
        /// How much longer it is cold.
        warmup_left_ms: u64,
    },
    /// It answered, but is full, leaving or unwell.
    Unhealthy,
    /// Another server has the address.
    OtherServer,
    /// Nobody listens at its address: the process is gone.
    Refused,
    /// No answer.
    NoAnswer,
}
