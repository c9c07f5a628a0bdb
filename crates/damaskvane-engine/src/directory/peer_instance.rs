//! The engine's record of another entry instance.
//!
//! ```
//! use damaskvane_engine::directory;
//!
//! assert!(directory::Reachability::Live.takes_messages());
//! assert!(!directory::Reachability::Dead.takes_messages());
//! ```

use damaskvane_core::ids;

/// Whether another instance can be reached, according to its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// The instance sends heartbeats.
    Live,
    /// The instance sends heartbeats and reports a planned stop.
    Leaving,
    /// No heartbeat was received for longer than the heartbeat timeout.
    Dead,
}

impl Reachability {
    /// Returns whether a message to the instance can be delivered.
    #[must_use]
    pub const fn takes_messages(self) -> bool {
        matches!(self, Self::Live | Self::Leaving)
    }
}

/// The location and state of another entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInstance {
    /// The incarnation (the number of a start) of the latest process of the instance.
    pub incarnation: ids::Incarnation,
    /// The availability zone of the instance.
    pub availability_zone: ids::AvailabilityZoneId,
    /// The region of the instance's availability zone.
    pub region: ids::RegionId,
    /// Whether the instance can be reached.
    pub reachability: Reachability,
}
