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

/// Distance class of a destination zone from a source zone, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The destination is the source zone.
    SameZone,
    /// The destination is another zone of the source's region.
    SameRegion,
    /// The destination is in another region.
    OtherRegion,
}

/// Topology of a deployment, as declared by operators, as far as steering depends on the topology.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Region of every zone.
    pub zones: BTreeMap<ids::AvailabilityZoneId, ids::RegionId>,
    /// Every service with its slots, each of which is the capacity of a server to run one request.
    pub services: BTreeMap<ids::ServiceId, Service>,
    /// Maximum traffic on the link between two regions, in megabits per second in each direction,
    /// by the pair of regions in ascending order.
    ///
    /// A pair that is absent has no limit.
    pub links: BTreeMap<(ids::RegionId, ids::RegionId), units::MegabitsPerSecond>,
    /// Latency by distance class.
    pub latency: Latency,
    /// Latency measured between two zones, where it differs from the latency of their distance
    /// class, in milliseconds.
    pub measured_latency_ms: BTreeMap<(ids::AvailabilityZoneId, ids::AvailabilityZoneId), u32>,
    /// Parts of source zones' clients that shift tickets, operators' orders to move traffic, move
    /// at present.
    pub movements: Vec<Movement>,
}

impl Topology {
    /// Returns the distance class of two zones; an unknown zone counts as
    /// [`Distance::OtherRegion`].
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
            _ => Distance::OtherRegion,
        }
    }

    /// Returns the one-way latency from a client of the source zone to the destination zone, in
    /// milliseconds.
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
            Distance::OtherRegion => self.latency.between_regions_ms,
        });
        self.latency.to_clients_ms + between_ms
    }

    /// Returns the maximum traffic on the link between the regions of two zones, or `None` within a
    /// region or for a link without a limit.
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

    /// Returns the source zone to assume for a client of which only the region is known: a zone of
    /// the region, selected by the client's hash.
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
