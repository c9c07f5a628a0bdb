//! An instance that hands changes of the store on.

use std::net;

use damaskvane_core::ids;

use crate::peers::Heartbeat;

/// An instance that others hear changes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// The instance.
    pub instance: ids::InstanceId,
    /// Its availability zone.
    pub zone: ids::AvailabilityZoneId,
    /// Where other instances reach it.
    pub address: net::SocketAddr,
}

impl Relay {
    pub(super) fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            instance: heartbeat.instance.clone(),
            zone: heartbeat.zone.clone(),
            address: heartbeat.peer_address,
        }
    }
}
