//! Health probes of servers that are unreachable or may have restarted.

use std::net;

use damaskvane_core::ids;

/// A health probe that has to be sent now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueProbe {
    /// Server to probe.
    pub server: ids::BackendServerId,
    /// Address of the server.
    pub address: net::SocketAddr,
    /// Path of the health check.
    pub health_path: String,
}

/// The result of a health probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The probed server responded that it is healthy.
    Healthy {
        /// Remaining time in which the server counts as recently started; 0 if the server is warm.
        warmup_left_ms: u64,
    },
    /// The probed server responded that it is full, leaving or unhealthy.
    Unhealthy,
    /// A server of another name responded at the address.
    OtherServer,
    /// The connection was refused because the server's process has ended.
    Refused,
    /// No response to the probe arrived.
    NoAnswer,
    /// The server accepted a connection and limits the rate of its requests, and there was no token for the probe.
    NotSent,
}
