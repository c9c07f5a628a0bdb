//! The instances that clients may use, and those that may carry connections for this one.

use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::configuration::RegionSet;
use crate::peers::caller::Caller;
use crate::peers::{Heartbeat, Members};

impl Members {
    /// Returns the last heartbeats of the ready instances of all zones, to which clients may connect.
    pub fn usable(&self, now: TimeMs) -> impl Iterator<Item = &Heartbeat> {
        let zones = self.members.zones();
        zones.flat_map(move |zone| self.members.accepting_in(now, zone))
    }

    /// Returns the last heartbeats of the other instances that accept clients, each with its region.
    pub fn others_accepting(
        &self,
        now: TimeMs,
    ) -> impl Iterator<Item = (&Heartbeat, Option<&ids::RegionId>)> {
        let others = self.usable(now).filter(|one| one.instance != self.own);
        others.map(|one| (one, self.regions.get(&one.zone)))
    }

    /// Returns whether an instance is alive, in any phase.
    #[must_use]
    pub fn is_alive(&self, now: TimeMs, instance: &ids::InstanceId) -> bool {
        let member = self.members.get(instance);
        member.is_some_and(|member| self.members.is_alive(now, member))
    }

    /// Returns whether an instance is alive and accepts clients.
    #[must_use]
    pub fn accepts_clients(&self, now: TimeMs, instance: &ids::InstanceId) -> bool {
        let member = self.members.get(instance);
        let zone = member.map(|member| &member.heartbeat.zone);
        zone.is_some_and(|zone| {
            let mut accepting = self.members.accepting_in(now, zone);
            accepting.any(|one| one.instance == *instance)
        })
    }

    /// Returns the client addresses of the ready instances nearest to a caller: those of the caller's zone, otherwise
    /// of its region, otherwise of the allowed regions, otherwise of all regions unless none is allowed.
    #[must_use]
    pub fn look_up(
        &self,
        now: TimeMs,
        zone: Option<&ids::AvailabilityZoneId>,
        region: Option<&ids::RegionId>,
        allowed_regions: &RegionSet,
    ) -> Vec<net::SocketAddr> {
        let caller = Caller {
            zone,
            region,
            allowed_regions,
        };
        caller.nearest(&self.members, &self.regions, now)
    }
}
