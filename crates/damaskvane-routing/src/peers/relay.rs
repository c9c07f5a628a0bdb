//! An instance that hands changes of the store on.

use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::roster::Roster;
use crate::peers::{Heartbeat, Phase};

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

/// The first instances of a zone, ready ones or, as long as there is none, starting ones.
pub(super) fn of_zone(
    roster: &Roster,
    now: TimeMs,
    zone: &ids::AvailabilityZoneId,
    most: usize,
) -> Vec<Relay> {
    ready_or_starting(|phase| {
        let first = roster.alive_in(now, zone, phase).take(most);
        first.map(Relay::of).collect()
    })
}

/// The first instance of each of the first zones with one, ready ones or, as long as there is none, starting ones.
pub(super) fn of_first_zones<'a>(
    roster: &Roster,
    now: TimeMs,
    zones: impl Iterator<Item = &'a ids::AvailabilityZoneId>,
    most: usize,
) -> Vec<Relay> {
    let zones: Vec<_> = zones.collect();
    ready_or_starting(|phase| {
        let zones = zones.iter();
        let first = zones.filter_map(|zone| roster.alive_in(now, zone, phase).next());
        first.take(most).map(Relay::of).collect()
    })
}

fn ready_or_starting(relays_in: impl Fn(Phase) -> Vec<Relay>) -> Vec<Relay> {
    let ready = relays_in(Phase::Ready);
    if ready.is_empty() {
        return relays_in(Phase::Starting);
    }
    ready
}
