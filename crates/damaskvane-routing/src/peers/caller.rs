//! Which instances are nearest to a caller.

use std::collections::HashMap;
use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::Phase;
use crate::peers::roster::Roster;

/// Where a look-up comes from, and which regions may serve what it asks for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Caller<'a> {
    pub(super) zone: Option<&'a ids::AvailabilityZoneId>,
    pub(super) region: Option<&'a ids::RegionId>,
    pub(super) allowed_regions: &'a [ids::RegionId],
}

impl Caller<'_> {
    /// The client addresses of the nearest instances: those of the caller's zone, or else of its region, or else of
    /// the regions that may serve it, or else all.
    pub(super) fn nearest(
        &self,
        roster: &Roster,
        regions: &HashMap<ids::AvailabilityZoneId, ids::RegionId>,
        now: TimeMs,
    ) -> Vec<net::SocketAddr> {
        let in_zone = |of: &ids::AvailabilityZoneId| Some(of) == self.zone;
        let in_region =
            |of: &ids::AvailabilityZoneId| self.region.is_some() && regions.get(of) == self.region;
        let is_allowed = |of: &ids::AvailabilityZoneId| {
            let region = regions.get(of);
            region.is_some_and(|region| self.allowed_regions.contains(region))
        };
        let tiers: [&dyn Fn(&ids::AvailabilityZoneId) -> bool; 4] =
            [&in_zone, &in_region, &is_allowed, &|_| true];
        for tier in tiers {
            let zones = roster.zones().filter(|of| tier(of));
            let usable = zones.flat_map(|of| roster.alive_in(now, of, Phase::Ready));
            let addresses: Vec<_> = usable.map(|one| one.client_address).collect();
            if !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }
}
