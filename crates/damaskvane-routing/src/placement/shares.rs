//! Computes the share of a region's requests that the servers of each region take.
//!
//! Traffic between zones costs money and time, so a region's own servers take its requests as far as their slots
//! suffice for the region's share of the load. The rest goes to the regions with spare slots. The shares depend only
//! on the slots of the servers: all instances of a region compute the same shares without messages, and the shares
//! change only when servers are added or removed.

use crate::pool::{RegionIndex, Topology};

/// Share of a region's slots that its own objects may use; the rest absorbs uneven load.
const OWN_SLOTS_SHARE: f64 = 0.9;
/// Minimum share of a region with servers. A server without requests is paid for and unused, and would have handled no
/// object recently when it is needed.
const MIN_SHARE: f64 = 0.01;

/// Slots of all regions. All zones are assumed to send the same number of requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shares<'a> {
    topology: &'a Topology,
    /// Slots by region index; `None` for a region without servers.
    slots: &'a [Option<f64>],
    total: f64,
}

impl<'a> Shares<'a> {
    /// Returns the shares for the given slots by region index.
    pub(super) fn new(topology: &'a Topology, slots: &'a [Option<f64>]) -> Self {
        Self {
            topology,
            slots,
            total: slots.iter().flatten().sum(),
        }
    }

    /// Returns each region with servers and its share of the requests from region `own`.
    pub(super) fn of_regions(&self, own: RegionIndex) -> impl Iterator<Item = (RegionIndex, f64)> {
        let own_share = self.local_slots(own) / self.demand_slots(own).max(1.0);
        let others = self.topology.regions().filter(|region| *region != own);
        let all_spare_slots: f64 = others.filter_map(|region| self.spare_slots(region)).sum();
        let per_spare_slot = (1.0 - own_share) / all_spare_slots.max(1.0);
        self.topology.regions().filter_map(move |region| {
            let spare_slots = self.spare_slots(region)?;
            let share = if region == own {
                own_share
            } else {
                spare_slots * per_spare_slot
            };
            Some((region, share.max(MIN_SHARE)))
        })
    }

    /// Returns the share of a zone's requests that its own servers can take, among those that stay in the region.
    pub(super) fn own_zone(&self, zone_slots: f64, region: RegionIndex) -> f64 {
        let zones = self.topology.zones_in(region).max(1);
        let local_slots = self.local_slots(region) / zones as f64;
        (zone_slots * OWN_SLOTS_SHARE / local_slots.max(1.0)).min(1.0)
    }

    /// Returns the slots of a region that its own objects don't use, or `None` for a region without servers.
    fn spare_slots(&self, region: RegionIndex) -> Option<f64> {
        let slots = self.slots[region.get()]?;
        Some(slots - self.local_slots(region))
    }

    /// Returns the slots of a region that its own objects use.
    fn local_slots(&self, region: RegionIndex) -> f64 {
        let slots = self.slots[region.get()].unwrap_or_default();
        (slots * OWN_SLOTS_SHARE).min(self.demand_slots(region))
    }

    /// Returns the slots that a region's requests would use if all slots of all regions were in use.
    fn demand_slots(&self, region: RegionIndex) -> f64 {
        let zones: usize = self.topology.zones().count();
        self.total * self.topology.zones_in(region) as f64 / zones.max(1) as f64
    }
}
