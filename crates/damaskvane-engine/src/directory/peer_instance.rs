//! Another entry instance as the engine sees it.
//!
//! ```
//! use damaskvane_engine::directory;
//!
//! assert!(directory::Reachability::Live.takes_messages());
//! assert!(!directory::Reachability::Dead.takes_messages());
//! ```

use damaskvane_core::ids;

/// Whether an instance can be talked to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It sends heartbeats.
    Live,
    /// It sends heartbeats and says that it is leaving.
    Leaving,
    /// It has been silent for longer than heartbeats allow.
    Dead,
}

impl Reachability {
    /// Whether a message to it has a chance.
    #[must_use]
    pub const fn takes_messages(self) -> bool {
        matches!(self, Self::Live | Self::Leaving)
    }
}

/// Another entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInstance {
    /// Its latest start.
    pub incarnation: ids::Incarnation,
    /// Where it stands.
    pub availability_zone: ids::AvailabilityZoneId,
    /// The region of that zone.
    pub region: ids::RegionId,
    /// Whether it can be talked to.
    pub reachability: Reachability,
}
