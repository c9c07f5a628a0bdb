//! The servers of one service that take new work, by availability zone.

use damaskvane_core::time::TimeMs;

use crate::pool::region_load::RegionLoad;
use crate::pool::{RegionIndex, Ring, Topology, ZoneIndex};

/// The servers of a zone that take new work.
#[derive(Debug, Default)]
pub struct ZoneServers {
    /// The servers, for placement by object.
    pub ring: Ring,
    /// How many they are.
    pub servers: usize,
    /// Their slots.
    pub slots: u64,
}

/// The servers of a service that take new work, kept as servers come, go and change.
#[derive(Debug)]
pub struct ServiceServers {
    zones: Vec<ZoneServers>,
    regions: Vec<RegionLoad>,
}

impl ServiceServers {
    /// No server yet.
    pub(super) fn new(topology: &Topology) -> Self {
        Self {
            zones: topology.zones().map(|_| ZoneServers::default()).collect(),
            regions: topology.regions().map(|_| RegionLoad::default()).collect(),
        }
    }

    /// The servers of a zone.
    #[must_use]
    pub fn zone(&self, zone: ZoneIndex) -> &ZoneServers {
        &self.zones[zone.get()]
    }

    pub(super) fn zone_mut(&mut self, zone: ZoneIndex) -> &mut ZoneServers {
        &mut self.zones[zone.get()]
    }

    pub(super) fn load_mut(&mut self, region: RegionIndex) -> &mut RegionLoad {
        &mut self.regions[region.get()]
    }

    /// The load for each slot of a region's servers, as they and this instance's requests show it.
    #[must_use]
    pub fn load(&self, now: TimeMs, topology: &Topology, region: RegionIndex) -> f64 {
        let zones = topology.zones();
        let of_region = zones.filter(|zone| topology.region_of(*zone) == region);
        let slots: u64 = of_region.map(|zone| self.zone(zone).slots).sum();
        self.regions[region.get()].estimate(now, slots as f64)
    }
}
