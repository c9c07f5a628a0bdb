//! An entry of the platform's list of instances.

use std::net;

use damaskvane_core::ids;

/// An instance as registered in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Identifier of the instance.
    pub instance: ids::InstanceId,
    /// Address for other instances.
    pub peer_address: net::SocketAddr,
    /// Availability zone of the instance, or `None` if the record names none.
    pub zone: Option<ids::AvailabilityZoneId>,
}
