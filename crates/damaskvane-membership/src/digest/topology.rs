//! Who sends digests to whom.

use std::collections::BTreeMap;

use damaskvane_core::ids;

/// The instances of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneContacts {
    /// The region of the zone.
    pub region: ids::RegionId,
    /// Its instances that take work, the aggregator first.
    pub ranked: Vec<ids::InstanceId>,
}

/// All zones as one instance sees them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    /// The instance itself.
    pub own: ids::InstanceId,
    /// Its zone.
    pub own_zone: ids::AvailabilityZoneId,
    /// Every zone, the own one among them.
    pub zones: BTreeMap<ids::AvailabilityZoneId, ZoneContacts>,
}

impl Topology {
    fn own_contacts(&self) -> &[ids::InstanceId] {
        self.zones
            .get(&self.own_zone)
            .map_or(&[], |contacts| contacts.ranked.as_slice())
    }

    /// The aggregator of the own zone.
    #[must_use]
    pub fn aggregator(&self) -> Option<&ids::InstanceId> {
        self.own_contacts().first()
    }

    /// Whether this instance is the aggregator of its zone.
    #[must_use]
    pub fn is_aggregator(&self) -> bool {
        self.aggregator() == Some(&self.own)
    }

    /// The instances of the own zone to which this one passes digests on.
    pub fn children(&self, fan_out: usize) -> impl Iterator<Item = &ids::InstanceId> {
        let ranked = self.own_contacts();
        let own = ranked.iter().position(|instance| *instance == self.own);
        let first = own.map_or(ranked.len(), |own| own * fan_out + 1);
        ranked.iter().skip(first).take(fan_out)
    }

    /// Whether an instance is of the own zone.
    #[must_use]
    pub fn is_own_zone(&self, instance: &ids::InstanceId) -> bool {
        self.own_contacts().contains(instance)
    }

    /// The region of the own zone.
    #[must_use]
    pub fn own_region(&self) -> Option<&ids::RegionId> {
        self.region(&self.own_zone)
    }

    /// The region of a zone.
    #[must_use]
    pub fn region(&self, zone: &ids::AvailabilityZoneId) -> Option<&ids::RegionId> {
        self.zones.get(zone).map(|contacts| &contacts.region)
    }

    /// Whether an instance is of the own region.
    #[must_use]
    pub fn is_own_region(&self, instance: &ids::InstanceId) -> bool {
        self.zones_of_own_region()
            .any(|(_, contacts)| contacts.ranked.contains(instance))
    }

    /// The zones of the own region, the own one among them.
    pub fn zones_of_own_region(
        &self,
    ) -> impl Iterator<Item = (&ids::AvailabilityZoneId, &ZoneContacts)> {
        let own = self.own_region();
        self.zones
            .iter()
            .filter(move |(_, contacts)| Some(&contacts.region) == own)
    }
}
