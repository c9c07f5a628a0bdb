//! How much of a region's requests its own servers take.
//!
//! Bytes between zones cost, and the way there and back takes time, so a region's objects belong to its own
//! servers as far as these suffice for its part of the load. What exceeds them goes to the regions that have
//! more than their part. The shares follow from the servers' slots alone: all instances of a region compute
//! the same ones without a message, and they change only when servers come or go.

use crate::pool::{RegionIndex, Topology};

/// The part of a region's slots that its own objects may take; the rest takes up uneven load.
const OWN_SLOTS_USED: f64 = 0.9;
/// The least weight of a region with servers: a server that gets nothing is paid for and unused, and would
/// be met unwarmed when it is needed.
const LEAST_SHARE: f64 = 0.01;

/// Slots by region, where requests come from all zones alike.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shares<'a> {
    topology: &'a Topology,
    /// The slots of each region; none where it has no server.
    slots: &'a [Option<f64>],
    total: f64,
}

impl<'a> Shares<'a> {
    /// The shares that follow from each region's slots.
    pub(super) fn new(topology: &'a Topology, slots: &'a [Option<f64>]) -> Self {
        Self {
            topology,
            slots,
            total: slots.iter().flatten().sum(),
        }
    }

    /// Each region with servers, with its share of the requests that come from `own`.
    pub(super) fn of_regions(&self, own: RegionIndex) -> impl Iterator<Item = (RegionIndex, f64)> {
        let own_share = self.kept(own) / self.part(own).max(1.0);
        let others = self.topology.regions().filter(|region| *region != own);
        let all_room: f64 = others.filter_map(|region| self.room(region)).sum();
        let per_room = (1.0 - own_share) / all_room.max(1.0);
        self.topology.regions().filter_map(move |region| {
            let room = self.room(region)?;
            let share = if region == own {
                own_share
            } else {
                room * per_room
            };
            Some((region, share.max(LEAST_SHARE)))
        })
    }

    /// The share of a zone's requests that its own servers can take, of those that stay in its region.
    pub(super) fn own_zone(&self, zone_slots: f64, region: RegionIndex) -> f64 {
        let zones = self.topology.zones_in(region).max(1);
        let kept = self.kept(region) / zones as f64;
        (zone_slots * OWN_SLOTS_USED / kept.max(1.0)).min(1.0)
    }

    /// The slots that a region has beyond what its own objects take; none where it has no server.
    fn room(&self, region: RegionIndex) -> Option<f64> {
        let slots = self.slots[region.get()]?;
        Some(slots - self.kept(region))
    }

    /// The slots of a region that its own objects take.
    fn kept(&self, region: RegionIndex) -> f64 {
        let slots = self.slots[region.get()].unwrap_or_default();
        (slots * OWN_SLOTS_USED).min(self.part(region))
    }

    /// The slots that a region's requests need, were all slots in use.
    fn part(&self, region: RegionIndex) -> f64 {
        let zones: usize = self.topology.zones().count();
        self.total * self.topology.zones_in(region) as f64 / zones.max(1) as f64
    }
}
