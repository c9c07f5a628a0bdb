//! Topology of the digest exchange: which instance sends digests (reports on zones) to which others.
//!
//! The aggregator of a zone is the instance that creates the zone's digests. It is the root of a tree
//! of the zone's instances, along which each instance forwards digests to its children.

use std::collections::BTreeMap;

use damaskvane_core::ids;

/// Instances of one zone to which digests can be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneContacts {
    /// Region of the zone.
    pub region: ids::RegionId,
    /// Instances of the zone that accept new work, by rank; the first one is the zone's aggregator.
    pub ranked: Vec<ids::InstanceId>,
}

/// All zones as seen by one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    /// Id of this instance.
    pub own: ids::InstanceId,
    /// Availability zone of this instance.
    pub own_zone: ids::AvailabilityZoneId,
    /// Every zone, including `own_zone`.
    pub zones: BTreeMap<ids::AvailabilityZoneId, ZoneContacts>,
}

impl Topology {
    fn own_contacts(&self) -> &[ids::InstanceId] {
        self.zones
            .get(&self.own_zone)
            .map_or(&[], |contacts| contacts.ranked.as_slice())
    }

    /// Returns the aggregator of the local zone, or `None` if no instance of the zone accepts new work.
    #[must_use]
    pub fn aggregator(&self) -> Option<&ids::InstanceId> {
        self.own_contacts().first()
    }

    /// Returns whether this instance is the aggregator of its zone.
    #[must_use]
    pub fn is_aggregator(&self) -> bool {
        self.aggregator() == Some(&self.own)
    }

    /// Returns the children of this instance, at most `fan_out`.
    pub fn children(&self, fan_out: usize) -> impl Iterator<Item = &ids::InstanceId> {
        let ranked = self.own_contacts();
        let own = ranked.iter().position(|instance| *instance == self.own);
        let first = own.map_or(ranked.len(), |own| own * fan_out + 1);
        ranked.iter().skip(first).take(fan_out)
    }

    /// Returns whether an instance belongs to the local zone and accepts new work.
    #[must_use]
    pub fn is_own_zone(&self, instance: &ids::InstanceId) -> bool {
        self.own_contacts().contains(instance)
    }

    /// Returns the region of the local zone, or `None` if the topology lacks that zone.
    #[must_use]
    pub fn own_region(&self) -> Option<&ids::RegionId> {
        self.region(&self.own_zone)
    }

    /// Returns the region of a zone, or `None` if the topology lacks the zone.
    #[must_use]
    pub fn region(&self, zone: &ids::AvailabilityZoneId) -> Option<&ids::RegionId> {
        self.zones.get(zone).map(|contacts| &contacts.region)
    }

    /// Returns whether an instance belongs to the local region and accepts new work.
    #[must_use]
    pub fn is_own_region(&self, instance: &ids::InstanceId) -> bool {
        self.zones_of_own_region()
            .any(|(_, contacts)| contacts.ranked.contains(instance))
    }

    /// Returns the zones of the local region, including the local zone.
    pub fn zones_of_own_region(
        &self,
    ) -> impl Iterator<Item = (&ids::AvailabilityZoneId, &ZoneContacts)> {
        let own = self.own_region();
        self.zones
            .iter()
            .filter(move |(_, contacts)| Some(&contacts.region) == own)
    }
}
