//! Topology of the digest exchange, as seen by this instance.
//!
//! Digests are reports on zones. The topology names the instances that may exchange them.

use std::collections::BTreeMap;

use damaskvane_core::ids;

use crate::digest::{Topology, ZoneContacts};
use crate::ownership;
use crate::view::membership::Membership;

impl Membership {
    /// Returns for every zone the instances that take new work, in the order of `ownership::ranking`.
    ///
    /// `own_region` is passed in, because the platform's list may not contain this instance yet.
    #[must_use]
    pub fn topology(&self, own_region: &ids::RegionId) -> Topology {
        let mut by_zone: BTreeMap<ids::AvailabilityZoneId, (ids::RegionId, Vec<ids::InstanceId>)> =
            BTreeMap::new();
        let own = (own_region.clone(), Vec::new());
        by_zone.insert(self.own.zone.clone(), own);
        for member in self.members.values() {
            let record = &member.record;
            if !self.state_of(member).takes_new_work() {
                continue;
            }
            by_zone
                .entry(record.zone.clone())
                .or_insert_with(|| (record.region.clone(), Vec::new()))
                .1
                .push(record.instance.clone());
        }
        if let Some((_, instances)) = by_zone.get_mut(&self.own.zone) {
            instances.extend((!self.leaving).then(|| self.own.instance.clone()));
        }
        let zones = by_zone.into_iter().map(|(zone, (region, instances))| {
            let ranked = ownership::ranking(zone.as_str(), &instances);
            (zone, ZoneContacts { region, ranked })
        });
        Topology {
            own: self.own.instance.clone(),
            own_zone: self.own.zone.clone(),
            zones: zones.collect(),
        }
    }
}
