//! The servers of one service that accept new requests, by availability zone.
//!
//! A slot is a server's capacity to run one request at a time.

use damaskvane_core::time::TimeMs;

use crate::pool::region_load::RegionLoad;
use crate::pool::{RegionIndex, Ring, ServerHandle, Topology, ZoneIndex};

/// The servers of a service in one zone that accept new requests.
#[derive(Debug, Default)]
pub struct ZoneServers {
    /// Consistent hash ring of these servers, by which requests for the same object go to the same server.
    pub ring: Ring,
    /// Number of these servers.
    pub servers: usize,
    /// Total number of slots of these servers.
    pub slots: u64,
}

/// The servers of a service that accept new requests, updated as servers join, leave and change.
#[derive(Debug)]
pub struct ServiceServers {
    zones: Vec<ZoneServers>,
    regions: Vec<RegionLoad>,
}

impl ServiceServers {
    /// Returns tables for the zones and regions of a topology, without any server.
    pub(super) fn new(topology: &Topology) -> Self {
        Self {
            zones: topology.zones().map(|_| ZoneServers::default()).collect(),
            regions: topology.regions().map(|_| RegionLoad::default()).collect(),
        }
    }

    /// Returns the service's servers in a zone that accept new requests.
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

    /// Returns the few servers of a region with the newest load reports to this instance. Some may accept no requests any
    /// more.
    pub fn recent(&self, region: RegionIndex) -> impl Iterator<Item = ServerHandle> {
        self.regions[region.get()].recent()
    }

    /// Returns the load of the servers in a region, as requests per slot, estimated from the servers' reports and from
    /// this instance's requests. `resting_slots` are those of servers that this instance doesn't use now.
    #[must_use]
    pub fn load(
        &self,
        now: TimeMs,
        topology: &Topology,
        region: RegionIndex,
        resting_slots: u64,
    ) -> f64 {
        let zones = topology.zones();
        let of_region = zones.filter(|zone| topology.region_of(*zone) == region);
        let slots: u64 = of_region.map(|zone| self.zone(zone).slots).sum();
        self.regions[region.get()].estimate(now, slots.saturating_sub(resting_slots) as f64)
    }
}
