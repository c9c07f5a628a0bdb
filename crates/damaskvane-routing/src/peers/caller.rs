//! Selects the entry instances that are nearest to the caller of a lookup.
//!
//! A lookup is a request for the addresses of entry instances that accept requests for one service. An instance is
//! ready if its last heartbeat, a periodic message to the other instances, reported that it accepts clients.

use std::collections::HashMap;
use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::configuration::RegionSet;
use crate::peers::Phase;
use crate::peers::member_table::MemberTable;

/// Location of the caller of a lookup, and the regions that may serve the requested service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Caller<'a> {
    /// Zone of the caller, or `None` if the zone is unknown.
    pub(super) zone: Option<&'a ids::AvailabilityZoneId>,
    /// Region of the caller, or `None` if the region is unknown.
    pub(super) region: Option<&'a ids::RegionId>,
    pub(super) allowed_regions: &'a RegionSet,
}

impl Caller<'_> {
    /// Returns the addresses at which the nearest instances accept clients: all ready instances of the first of these
    /// areas that has any: the caller's zone, the caller's region, the allowed regions. If there are none, all that
    /// accept clients in the first of these areas, or else in all regions unless none is allowed.
    pub(super) fn nearest(
        &self,
        members: &MemberTable,
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
        // A request's body may always be sent to the caller's own region. No other region is right for a service whose
        // routes have none in common.
        let is_any = |_: &ids::AvailabilityZoneId| !self.allowed_regions.is_empty();
        let tiers: [&dyn Fn(&ids::AvailabilityZoneId) -> bool; 4] =
            [&in_zone, &in_region, &is_allowed, &is_any];
        let addresses_in = |tier: &dyn Fn(&ids::AvailabilityZoneId) -> bool,
                            has_phase: fn(Phase) -> bool| {
            let zones = members.zones().filter(|of| tier(of));
            let usable = zones.flat_map(|of| members.alive_in(now, of, has_phase));
            let addresses: Vec<_> = usable.map(|one| one.client_address).collect();
            (!addresses.is_empty()).then_some(addresses)
        };
        let [near @ .., _] = tiers;
        let ready = near
            .into_iter()
            .find_map(|tier| addresses_in(tier, Phase::is_ready));
        let accepting = || {
            let mut tiers = tiers.into_iter();
            tiers.find_map(|tier| addresses_in(tier, Phase::accepts_clients))
        };
        ready.or_else(accepting).unwrap_or_default()
    }
}
