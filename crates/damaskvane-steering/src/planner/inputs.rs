//! Inputs for planning one service, with zones addressed by index.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::planner::matrix::Matrix;
use crate::planner::settings::Settings;
use crate::{digest, input, plan, staleness};

/// Zones of a topology in ascending order, and the region of each.
pub(super) struct Geometry<'a> {
    pub(super) topology: &'a input::Topology,
    pub(super) zones: Vec<&'a ids::AvailabilityZoneId>,
    pub(super) regions: Vec<usize>,
    pub(super) region_ids: Vec<&'a ids::RegionId>,
}

/// Inputs for planning one service.
pub(super) struct Inputs<'a> {
    pub(super) settings: &'a Settings,
    pub(super) geometry: &'a Geometry<'a>,
    pub(super) service: &'a input::Service,
    pub(super) id: &'a ids::ServiceId,
    pub(super) view: &'a digest::View,
    pub(super) previous: Option<&'a plan::ServicePlan>,
    pub(super) now: time::TimeMs,
}

impl<'a> Geometry<'a> {
    pub(super) fn new(topology: &'a input::Topology) -> Self {
        let mut region_ids: Vec<_> = topology.zones.values().collect();
        region_ids.sort();
        region_ids.dedup();
        let index = |region| region_ids.binary_search(&region).unwrap_or_default();
        Self {
            topology,
            zones: topology.zones.keys().collect(),
            regions: topology.zones.values().map(index).collect(),
            region_ids,
        }
    }

    pub(super) fn distance(&self, source: usize, destination: usize) -> input::Distance {
        if source == destination {
            input::Distance::SameZone
        } else if self.regions[source] == self.regions[destination] {
            input::Distance::SameRegion
        } else {
            input::Distance::OtherRegion
        }
    }

    pub(super) fn index(&self, zone: &ids::AvailabilityZoneId) -> Option<usize> {
        self.zones.binary_search(&zone).ok()
    }
}

impl Inputs<'_> {
    pub(super) fn zone_count(&self) -> usize {
        self.geometry.zones.len()
    }

    /// Maps values in zone order to their zone ids.
    pub(super) fn by_zone<T>(&self, values: Vec<T>) -> BTreeMap<ids::AvailabilityZoneId, T> {
        let zones = self.geometry.zones.iter();
        zones.map(|zone| (*zone).clone()).zip(values).collect()
    }

    pub(super) fn decision(&self, zone: &ids::AvailabilityZoneId) -> staleness::Decision {
        let age = self.view.age(zone, self.settings.limits, self.now);
        staleness::decide(age, self.view.reachability(zone))
    }

    pub(super) fn report(&self, zone: &ids::AvailabilityZoneId) -> Option<&digest::ServiceDigest> {
        self.view.digest(zone)?.services.get(self.id)
    }

    /// Returns the largest share of each source's clients that may still use each destination
    /// because of cached lookup results, in millionths.
    pub(super) fn cached_ppm(&self) -> Matrix<u32> {
        let mut cached = Matrix::new(self.zone_count());
        let Some(previous) = self.previous else {
            return cached;
        };
        for (source, destination, share_ppm) in previous.cached() {
            let source = self.geometry.index(source);
            let destination = self.geometry.index(destination);
            if let (Some(source), Some(destination)) = (source, destination) {
                let cell: &mut u32 = cached.at_mut(source, destination);
                *cell = share_ppm.max(*cell);
            }
        }
        cached
    }
}
