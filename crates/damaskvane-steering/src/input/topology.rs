//! Zones, regions, links and services of a deployment.
//!
//! ```
//! use damaskvane_steering::input;
//!
//! assert!(input::Distance::SameZone < input::Distance::SameRegion);
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, units};

use crate::input::latency::Latency;
use crate::input::movement::Movement;
use crate::input::service::Service;

/// How far a destination zone is from a source zone, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The destination is the source.
    SameZone,
    /// Another zone of the source's region.
    SameRegion,
    /// A zone of another region.
    Elsewhere,
}

/// Everything declared that steering depends on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Every zone with its region.
    pub zones: BTreeMap<ids::AvailabilityZoneId, ids::RegionId>,
    /// Every service with its slots.
    pub services: BTreeMap<ids::ServiceId, Service>,
    /// The budget of the link between two regions, each way; regions in ascending order.
    ///
    /// A pair that is absent has no limit.
    pub links: BTreeMap<(ids::RegionId, ids::RegionId), units::MegabitsPerSecond>,
    /// Latency by distance.
    pub latency: Latency,
    /// Latency measured between two zones, where it differs from its distance class.
    pub measured_latency_ms: BTreeMap<(ids::AvailabilityZoneId, ids::AvailabilityZoneId), u32>,
    /// Parts of sources that tickets move now.
    pub movements: Vec<Movement>,
}

impl Topology {
    /// How far apart two zones are; an unknown zone is elsewhere.
    #[must_use]
    pub fn distance(
        &self,
        source: &ids::AvailabilityZoneId,
        destination: &ids::AvailabilityZoneId,
    ) -> Distance {
        if source == destination {
            return Distance::SameZone;
        }
        match (self.zones.get(source), self.zones.get(destination)) {
            (Some(left), Some(right)) if left == right => Distance::SameRegion,
            _ => Distance::Elsewhere,
        }
    }

    /// One-way latency from a client of the source zone to the destination zone.
    #[must_use]
    pub fn latency_ms(
        &self,
        source: &ids::AvailabilityZoneId,
        destination: &ids::AvailabilityZoneId,
    ) -> u32 {
        let pair = (source.clone(), destination.clone());
        let between_ms = self.measured_latency_ms.get(&pair).copied();
        let between_ms = between_ms.unwrap_or(match self.distance(source, destination) {
            Distance::SameZone => 0,
            Distance::SameRegion => self.latency.between_zones_ms,
            Distance::Elsewhere => self.latency.between_regions_ms,
        });
        self.latency.to_clients_ms + between_ms
    }

    /// The link budget between the regions of two zones; none within a region or where undeclared.
    #[must_use]
    pub fn link(
        &self,
        source: &ids::AvailabilityZoneId,
        destination: &ids::AvailabilityZoneId,
    ) -> Option<units::MegabitsPerSecond> {
        let left = self.zones.get(source)?;
        let right = self.zones.get(destination)?;
        if left == right {
            return None;
        }
        let pair = (left.min(right).clone(), left.max(right).clone());
        self.links.get(&pair).copied()
    }

    /// The zone that stands for a client of which only the region is known.
    #[must_use]
    pub fn zone_of(
        &self,
        region: &ids::RegionId,
        client_hash: u64,
    ) -> Option<&ids::AvailabilityZoneId> {
        let zones = || self.zones.iter().filter(|(_, of)| *of == region);
        let index = client_hash.checked_rem(zones().count() as u64)?;
        zones()
            .nth(usize::try_from(index).ok()?)
            .map(|(zone, _)| zone)
    }
}
