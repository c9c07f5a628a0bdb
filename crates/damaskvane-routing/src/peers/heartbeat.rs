//! What an instance tells the others of itself.

use std::net;

use damaskvane_core::ids;

/// Where an instance stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It doesn't know a configuration yet.
    Starting,
    /// It takes clients.
    Ready,
    /// It stops.
    Leaving,
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Who sends it.
    pub instance: ids::InstanceId,
    /// Which start of the instance.
    pub incarnation: ids::Incarnation,
    /// Counts the heartbeats of this start.
    pub serial: u64,
    /// The instance's availability zone.
    pub zone: ids::AvailabilityZoneId,
    /// Where clients reach it.
    pub client_address: net::SocketAddr,
    /// Where other instances reach it.
    pub peer_address: net::SocketAddr,
    /// Where it stands.
    pub phase: Phase,
}
