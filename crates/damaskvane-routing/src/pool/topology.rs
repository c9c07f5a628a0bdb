//! Availability zones and regions by number, so that routing decisions index tables instead of comparing names.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use damaskvane_core::ids;

/// Number of an availability zone within a [`Topology`], from 0 in the order of the zones' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneIndex(usize);

/// Number of a region within a [`Topology`], from 0 in the order of the regions' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionIndex(usize);

impl ZoneIndex {
    /// Returns the zone's number, for use as an index into a table with one entry for each zone.
    #[must_use]
    pub const fn get(self) -> usize {
        self.0
    }
}

impl RegionIndex {
    /// Returns the region's number, for use as an index into a table with one entry for each region.
    #[must_use]
    pub const fn get(self) -> usize {
        self.0
    }
}

#[derive(Debug)]
struct Zone {
    id: ids::AvailabilityZoneId,
    region: RegionIndex,
}

#[derive(Debug)]
struct Region {
    id: ids::RegionId,
    zones: usize,
}

/// The availability zones of a deployment and their regions.
#[derive(Debug, Default)]
pub struct Topology {
    zones: Vec<Zone>,
    regions: Vec<Region>,
    by_zone: HashMap<ids::AvailabilityZoneId, ZoneIndex>,
}

impl Topology {
    /// Returns a topology in which zones and regions are numbered in the order of their names, the same on all
    /// instances.
    #[must_use]
    pub fn new(region_of: &HashMap<ids::AvailabilityZoneId, ids::RegionId>) -> Self {
        let names: BTreeSet<&ids::RegionId> = region_of.values().collect();
        let numbers: BTreeMap<&ids::RegionId, usize> = names.into_iter().zip(0..).collect();
        let regions = numbers.keys().map(|id| Region {
            id: (*id).clone(),
            zones: region_of.values().filter(|of| of == id).count(),
        });
        let mut topology = Self {
            regions: regions.collect(),
            ..Self::default()
        };
        let sorted: BTreeMap<_, _> = region_of.iter().collect();
        for (number, (id, region)) in sorted.into_iter().enumerate() {
            topology.by_zone.insert(id.clone(), ZoneIndex(number));
            topology.zones.push(Zone {
                id: id.clone(),
                region: RegionIndex(numbers[region]),
            });
        }
        topology
    }

    /// Returns all zones in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = ZoneIndex> + use<> {
        (0..self.zones.len()).map(ZoneIndex)
    }

    /// Returns all regions in the order of their names.
    pub fn regions(&self) -> impl Iterator<Item = RegionIndex> + use<> {
        (0..self.regions.len()).map(RegionIndex)
    }

    /// Returns the number of a zone, or `None` if the topology doesn't contain the zone.
    #[must_use]
    pub fn zone(&self, id: &ids::AvailabilityZoneId) -> Option<ZoneIndex> {
        self.by_zone.get(id).copied()
    }

    /// Returns the name of a zone.
    #[must_use]
    pub fn zone_id(&self, zone: ZoneIndex) -> &ids::AvailabilityZoneId {
        &self.zones[zone.0].id
    }

    /// Returns the region of a zone.
    #[must_use]
    pub fn region_of(&self, zone: ZoneIndex) -> RegionIndex {
        self.zones[zone.0].region
    }

    /// Returns the name of a region.
    #[must_use]
    pub fn region_id(&self, region: RegionIndex) -> &ids::RegionId {
        &self.regions[region.0].id
    }

    /// Returns the number of zones in a region.
    #[must_use]
    pub fn zones_in(&self, region: RegionIndex) -> usize {
        self.regions[region.0].zones
    }
}
