//! Selects the instances that watch the platform's store and forward its changes to other instances.
//!
//! An instance is ready if it accepts clients, and starting before that.

use std::collections::HashMap;
use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::member_table::MemberTable;
use crate::peers::{Heartbeat, Phase};

/// An instance that forwards changes of the store within its zone, or watches the store for its region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Identifier of the instance.
    pub instance: ids::InstanceId,
    /// Availability zone of the instance.
    pub zone: ids::AvailabilityZoneId,
    /// Address at which the instance receives messages of other instances.
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

/// Returns the first `max_relays` ready instances of a zone, or the first starting instances if none is ready.
pub(super) fn of_zone(
    members: &MemberTable,
    now: TimeMs,
    zone: &ids::AvailabilityZoneId,
    max_relays: usize,
) -> Vec<Relay> {
    ready_or_starting(|has_phase| {
        let first = members.alive_in(now, zone, has_phase).take(max_relays);
        first.map(Relay::of).collect()
    })
}

/// Returns the first ready instance of each zone, for the first `max_relays` zones that have a ready instance.
///
/// If no instance of these zones is ready, starting instances are returned instead.
pub(super) fn of_first_zones<'a>(
    members: &MemberTable,
    now: TimeMs,
    zones: impl Iterator<Item = &'a ids::AvailabilityZoneId>,
    max_relays: usize,
) -> Vec<Relay> {
    let zones: Vec<_> = zones.collect();
    ready_or_starting(|has_phase| {
        let zones = zones.iter();
        let first = zones.filter_map(|zone| members.alive_in(now, zone, has_phase).next());
        first.take(max_relays).map(Relay::of).collect()
    })
}

fn ready_or_starting(relays_in: impl Fn(fn(Phase) -> bool) -> Vec<Relay>) -> Vec<Relay> {
    let ready = relays_in(Phase::accepts_clients);
    if ready.is_empty() {
        return relays_in(Phase::is_starting);
    }
    ready
}

/// Returns how many zones of the region of `own` precede it in the order of their names.
pub(super) fn zones_before(
    regions: &HashMap<ids::AvailabilityZoneId, ids::RegionId>,
    own: &ids::AvailabilityZoneId,
) -> usize {
    let region = regions.get(own);
    let before = regions
        .iter()
        .filter(|(zone, of)| Some(*of) == region && *zone < own);
    before.count()
}
