//! How much of a region's requests its own servers take.
//!
//! Bytes between zones cost, and the way there and back takes time, so a region's objects belong to its own
//! servers as far as these suffice for its part of the load. What exceeds them goes to the regions that have
//! more than their part. The shares follow from the servers' slots alone: all instances of a region compute
//! the same ones without a message, and they change only when servers come or go.

use std::collections::{BTreeMap, HashMap};

use damaskvane_core::ids;

/// The part of a region's slots that its own objects may take; the rest takes up uneven load.
const OWN_SLOTS_USED: f64 = 0.9;
/// The least weight of a region with servers: a server that gets nothing is paid for and unused, and would
/// be met unwarmed when it is needed.
const LEAST_SHARE: f64 = 0.01;

/// Slots by zone and by region, where requests come from all zones alike.
#[derive(Debug)]
pub(super) struct Shares<'a> {
    regions: &'a HashMap<ids::AvailabilityZoneId, ids::RegionId>,
    zone_slots: BTreeMap<&'a ids::AvailabilityZoneId, f64>,
    region_slots: BTreeMap<&'a ids::RegionId, f64>,
    total: f64,
}

impl<'a> Shares<'a> {
    /// No server yet.
    pub(super) const fn new(regions: &'a HashMap<ids::AvailabilityZoneId, ids::RegionId>) -> Self {
        Self {
            regions,
            zone_slots: BTreeMap::new(),
            region_slots: BTreeMap::new(),
            total: 0.0,
        }
    }

    /// Adds a server.
    pub(super) fn add(
        &mut self,
        zone: &'a ids::AvailabilityZoneId,
        region: &'a ids::RegionId,
        slots: u32,
    ) {
        let slots = f64::from(slots);
        *self.zone_slots.entry(zone).or_default() += slots;
        *self.region_slots.entry(region).or_default() += slots;
        self.total += slots;
    }

    /// Each region with its share of the requests that come from `own`.
    pub(super) fn of_regions(
        &self,
        own: &ids::RegionId,
    ) -> impl Iterator<Item = (&'a ids::RegionId, f64)> {
        let own_share = self.kept(own) / self.part(own).max(1.0);
        let rest = 1.0 - own_share;
        let all_room: f64 = self.others(own).map(|(_, room)| room).sum();
        let mut shares = vec![(own, own_share)];
        for (region, room) in self.others(own) {
            shares.push((region, rest * room / all_room.max(1.0)));
        }
        let known = &self.region_slots;
        let shares: Vec<_> = shares
            .into_iter()
            .filter_map(|(region, share)| {
                let (region, _) = known.get_key_value(region)?;
                Some((*region, share.max(LEAST_SHARE)))
            })
            .collect();
        shares.into_iter()
    }

    /// The share of a zone's requests that its own servers can take, of those that stay in its region.
    pub(super) fn own_zone(&self, zone: &ids::AvailabilityZoneId, region: &ids::RegionId) -> f64 {
        let slots = self.zone_slots.get(zone).copied().unwrap_or_default();
        let zones = self.zones_of(region).max(1);
        let kept = self.kept(region) / zones as f64;
        (slots * OWN_SLOTS_USED / kept.max(1.0)).min(1.0)
    }

    /// The other regions with the slots that they have beyond what their own objects take.
    fn others(&self, own: &ids::RegionId) -> impl Iterator<Item = (&'a ids::RegionId, f64)> {
        let own = own.clone();
        self.region_slots
            .iter()
            .filter(move |(region, _)| ***region != own)
            .map(|(region, slots)| (*region, slots - self.kept(region)))
    }

    /// The slots of a region that its own objects take.
    fn kept(&self, region: &ids::RegionId) -> f64 {
        let slots = self.region_slots.get(region).copied().unwrap_or_default();
        (slots * OWN_SLOTS_USED).min(self.part(region))
    }

    /// The slots that a region's requests need, were all slots in use.
    fn part(&self, region: &ids::RegionId) -> f64 {
        self.total * self.zones_of(region) as f64 / self.regions.len().max(1) as f64
    }

    fn zones_of(&self, region: &ids::RegionId) -> usize {
        self.regions.values().filter(|of| *of == region).count()
    }
}
