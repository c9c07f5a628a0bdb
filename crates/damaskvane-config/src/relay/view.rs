//! The live peers that a relay takes into account.
//!
//! ```
//! use damaskvane_config::relay;
//!
//! assert_eq!(relay::View::default().members.len(), 0);
//! ```

use std::collections::BTreeMap;

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

/// A live instance and its location.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The id of the instance.
    pub instance: ids::InstanceId,
    /// The availability zone that the instance runs in.
    pub availability_zone: ids::AvailabilityZoneId,
}

/// The live instances that are not leaving, without this instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The instances, in any order.
    pub members: Vec<Member>,
}

impl View {
    /// Returns the instances in a zone.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a ids::AvailabilityZoneId,
    ) -> impl Iterator<Item = &'a ids::InstanceId> {
        self.members
            .iter()
            .filter(move |member| member.availability_zone == *zone)
            .map(|member| &member.instance)
    }

    /// Returns the instances of every zone except `zone`, by zone.
    #[must_use]
    pub fn other_zones(
        &self,
        zone: &ids::AvailabilityZoneId,
    ) -> BTreeMap<&ids::AvailabilityZoneId, Vec<&ids::InstanceId>> {
        let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for member in &self.members {
            if member.availability_zone != *zone {
                let instances = zones.entry(&member.availability_zone).or_default();
                instances.push(&member.instance);
            }
        }
        zones
    }

    /// Returns whether `local` ranks among the first `count` instances of its zone, which watch the
    /// store as relays.
    ///
    /// Instances with different views may choose different relays. A surplus relay is harmless,
    /// since applying a head is idempotent. Versions in heartbeats and announcements from other
    /// zones make up for a missing relay.
    #[must_use]
    pub fn is_relay(&self, local: &Member, count: usize) -> bool {
        let own_rank = rank(&local.instance);
        let before = self
            .in_zone(&local.availability_zone)
            .filter(|other| rank(other) < own_rank)
            .count();
        before < count
    }
}

/// Returns the rank of an instance, a hash of its id.
///
/// With an order by name the same instances would be relays for ever.
fn rank(instance: &ids::InstanceId) -> ContentHash {
    ContentHash::of(instance.as_str().as_bytes())
}
