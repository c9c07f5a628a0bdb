//! An instance that the platform's list names.

use std::net;

use damaskvane_core::ids;

/// An instance, as the platform's list names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance.
    pub instance: ids::InstanceId,
    /// Where other instances reach it.
    pub peer_address: net::SocketAddr,
    /// Its availability zone, where the record names one.
    pub zone: Option<ids::AvailabilityZoneId>,
}
