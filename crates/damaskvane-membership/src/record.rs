//! Entry of an instance in the platform's list.
//!
//! Instances work with copies of the list, which lag behind the list at the platform.
//!
//! ```
//! use damaskvane_membership::record;
//!
//! fn is_candidate(record: &record::InstanceRecord) -> bool {
//!     !record.leaving
//! }
//! # let _ = is_candidate;
//! ```

use core::net;

use damaskvane_core::ids;
use serde::{Deserialize, Serialize};

/// One entry of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Id of the instance.
    pub instance: ids::InstanceId,
    /// Availability zone of the instance.
    #[serde(rename = "availability_zone")]
    pub zone: ids::AvailabilityZoneId,
    /// Region of the availability zone.
    pub region: ids::RegionId,
    /// Incarnation (start of the process) of the instance that wrote the entry.
    pub incarnation: ids::Incarnation,
    /// Address at which clients reach the instance.
    pub client_address: net::SocketAddr,
    /// Address at which other instances reach the instance.
    pub peer_address: net::SocketAddr,
    /// Address at which operators reach the instance.
    pub operator_address: net::SocketAddr,
    /// Whether the instance is about to stop as planned.
    pub leaving: bool,
    /// Whether another instance has revoked the authority of this incarnation, its right to act as an
    /// owner of backend servers.
    ///
    /// A fenced entry is also called a fence record, and is kept for a while. If it were deleted at
    /// once, an instance that starts next would have no trace of an incarnation that may still grant
    /// slots (rights to run a request): both would grant the same slots, and a backend server would
    /// shed requests.
    #[serde(default)]
    pub fenced: bool,
    /// Whether the fenced incarnation may consider itself the last instance of a zone that is cut off
    /// from the platform, and therefore keeps its authority for longer than usual.
    #[serde(default)]
    pub goes_on_alone: bool,
}
