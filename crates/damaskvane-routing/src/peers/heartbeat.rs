//! The heartbeat, which an instance sends periodically to other instances, and the phases of an instance.

use std::net;

use damaskvane_core::ids;

/// The phase of an instance between start and stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The instance doesn't accept clients yet, for example because it has received no configuration.
    Starting,
    /// The instance accepts clients.
    Ready,
    /// The instance accepts clients but refuses requests with keys, since its configuration may be outdated. Lookups
    /// return it only if no instance near the client is ready.
    Limited,
    /// The instance is stopping, and lookups no longer return it to clients.
    Leaving,
}

impl Phase {
    /// Returns whether an instance in this phase accepts clients.
    #[must_use]
    pub const fn accepts_clients(self) -> bool {
        matches!(self, Self::Ready | Self::Limited)
    }

    /// Returns whether this is the phase [`Phase::Ready`].
    #[must_use]
    pub const fn is_ready(self) -> bool {
        matches!(self, Self::Ready)
    }

    /// Returns whether this is the phase [`Phase::Starting`].
    #[must_use]
    pub const fn is_starting(self) -> bool {
        matches!(self, Self::Starting)
    }
}

/// A message by which an instance reports periodically that it is alive, with its zone, addresses and phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The instance that sends the heartbeat.
    pub instance: ids::InstanceId,
    /// Number of the incarnation, which is one start of the instance's process; a later start has a higher number.
    pub incarnation: ids::Incarnation,
    /// Number of the heartbeat, counted from the start of this incarnation.
    pub serial: u64,
    /// Availability zone of the instance.
    pub zone: ids::AvailabilityZoneId,
    /// Address at which the instance accepts clients.
    pub client_address: net::SocketAddr,
    /// Address at which the instance receives messages of other instances.
    pub peer_address: net::SocketAddr,
    /// Phase of the instance when it sent the heartbeat.
    pub phase: Phase,
}
