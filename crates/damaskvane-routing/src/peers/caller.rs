//! Which instances are nearest to a caller.

use std::collections::HashMap;
use std::net;

use damaskvane_core::ids;

use crate::peers::Heartbeat;

/// Where a look-up comes from, and which regions may serve what it asks for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Caller<'a> {
    pub(super) zone: Option<&'a ids::AvailabilityZoneId>,
    pub(super) region: Option<&'a ids::RegionId>,
    pub(super) allowed_regions: &'a [ids::RegionId],
}

impl Caller<'_> {
    /// The client addresses of the nearest of these instances: those of the caller's zone, or else of its
    /// region, or else of the regions that may serve it, or else all.
    pub(super) fn nearest(
        &self,
        usable: &[&Heartbeat],
        regions: &HashMap<ids::AvailabilityZoneId, ids::RegionId>,
    ) -> Vec<net::SocketAddr> {
        let in_zone = |h: &Heartbeat| Some(&h.zone) == self.zone;
        let in_region =
            |h: &Heartbeat| self.region.is_some() && regions.get(&h.zone) == self.region;
        let is_allowed = |h: &Heartbeat| {
            let region = regions.get(&h.zone);
            region.is_some_and(|region| self.allowed_regions.contains(region))
        };
        let tiers: [&dyn Fn(&Heartbeat) -> bool; 4] =
            [&in_zone, &in_region, &is_allowed, &|_| true];
        for tier in tiers {
            let nearest = usable.iter().filter(|heartbeat| tier(heartbeat));
            let addresses: Vec<_> = nearest.map(|one| one.client_address).collect();
            if !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }
}
