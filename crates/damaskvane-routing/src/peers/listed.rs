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
    /// Revision of the store at which the record was created; 0 if unknown.
    pub created: u64,
}

impl ListedInstance {
    /// Returns whether two records describe an instance in the same way, whenever they were created.
    #[must_use]
    pub fn describes_same(&self, other: &Self) -> bool {
        self.instance == other.instance
            && self.peer_address == other.peer_address
            && self.zone == other.zone
    }
}
