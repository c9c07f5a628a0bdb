//! An entry of the platform's list of instances, which holds the instances that are registered in the store.

use std::net;

use damaskvane_core::ids;

/// An entry instance as its record in the platform's store describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Identifier of the instance.
    pub instance: ids::InstanceId,
    /// Address at which the instance receives messages of other instances.
    pub peer_address: net::SocketAddr,
    /// Availability zone of the instance, or `None` if the record names no zone.
    pub zone: Option<ids::AvailabilityZoneId>,
}
