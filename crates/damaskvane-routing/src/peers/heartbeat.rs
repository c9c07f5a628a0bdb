//! The heartbeat that an instance sends to other instances, and its phases.

use std::net;

use damaskvane_core::ids;

/// The phase of an instance between start and stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The instance is not ready for clients yet; it has no configuration, for instance.
    Starting,
    /// The instance accepts clients.
    Ready,
    /// The instance is stopping and needs no new clients.
    Leaving,
}

/// A message that an instance sends periodically to report that it is alive, where, and in which phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The instance that sends the heartbeat.
    pub instance: ids::InstanceId,
    /// Incarnation of the instance; a higher number is a later start.
    pub incarnation: ids::Incarnation,
    /// Number of the heartbeat, counted from the start of this incarnation.
    pub serial: u64,
    /// Availability zone of the instance.
    pub zone: ids::AvailabilityZoneId,
    /// Address for clients.
    pub client_address: net::SocketAddr,
    /// Address for other instances.
    pub peer_address: net::SocketAddr,
    /// Phase of the instance when it sent the heartbeat.
    pub phase: Phase,
}
