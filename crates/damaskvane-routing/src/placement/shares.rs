//! Computes the share of a region's requests that the servers of each region take.
//!
//! A slot is a server's capacity to run one request at a time. An object is the item that a client's request names.
//!
//! Traffic between zones costs money and time, so a region's own servers take its requests as far as their slots
//! suffice for the region's share of the load. The remaining requests go to the regions with spare slots. The shares
//! depend only on the slots of the servers: all instances of a region compute the same shares without messages, and the
//! shares change only when servers are added or removed.

use crate::pool::{RegionIndex, Topology};

/// Share of a region's slots that requests from the region may use; the remaining slots absorb uneven load.
const OWN_SLOTS_SHARE: f64 = 0.9;
/// Minimum share of a region with servers. Servers without any requests would be paid for and unused, and would have
/// handled no object recently when needed.
const MIN_SHARE: f64 = 0.01;

/// Slots of all regions, from which the shares are computed. All zones are assumed to send the same number of requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shares<'a> {
    topology: &'a Topology,
    /// Slots by region index; `None` for a region without servers.
    slots: &'a [Option<f64>],
    total: f64,
}

impl<'a> Shares<'a> {
    /// Returns the shares that follow from the slots of each region; the slice is indexed by region.
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

    /// Returns the share that the zone's own servers can take of those requests from the zone that stay in the region.
    pub(super) fn own_zone(&self, zone_slots: f64, region: RegionIndex) -> f64 {
        let zones = self.topology.zones_in(region).max(1);
        let local_slots = self.local_slots(region) / zones as f64;
        (zone_slots * OWN_SLOTS_SHARE / local_slots.max(1.0)).min(1.0)
    }

    /// Returns the slots of a region that are left for requests from other regions, or `None` if the region has no
    /// server.
    fn spare_slots(&self, region: RegionIndex) -> Option<f64> {
        let slots = self.slots[region.get()]?;
        Some(slots - self.local_slots(region))
    }

    /// Returns the slots of a region that requests from the region use.
    fn local_slots(&self, region: RegionIndex) -> f64 {
        let slots = self.slots[region.get()].unwrap_or_default();
        (slots * OWN_SLOTS_SHARE).min(self.demand_slots(region))
    }

    /// Returns the slots that requests from a region would use if all slots of all regions were in use.
    fn demand_slots(&self, region: RegionIndex) -> f64 {
        let zones: usize = self.topology.zones().count();
        self.total * self.topology.zones_in(region) as f64 / zones.max(1) as f64
    }
}
