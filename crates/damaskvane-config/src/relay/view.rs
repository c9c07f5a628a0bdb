//! The live instances as this one sees them.
//!
//! ```
//! use damaskvane_config::relay;
//!
//! assert_eq!(relay::View::default().members.len(), 0);
//! ```

use std::collections::BTreeMap;

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

/// A live instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// The instance.
    pub instance: ids::InstanceId,
    /// Where it stands.
    pub availability_zone: ids::AvailabilityZoneId,
}

/// The live instances that are not leaving, without this one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The instances, in any order.
    pub members: Vec<Member>,
}

impl View {
    /// The instances of a zone.
    pub fn of_zone<'a>(
        &'a self,
        zone: &'a ids::AvailabilityZoneId,
    ) -> impl Iterator<Item = &'a ids::InstanceId> {
        self.members
            .iter()
            .filter(move |member| member.availability_zone == *zone)
            .map(|member| &member.instance)
    }

    /// The instances of each zone but one.
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

    /// Whether an instance is one of the first `count` of its zone.
    ///
    /// Instances with different views may choose different relays. One too many is harmless, since
    /// adoption is idempotent; one too few is made up by the heartbeats and by other zones.
    #[must_use]
    pub fn is_relay(&self, me: &Member, count: usize) -> bool {
        let mine = rank(&me.instance);
        let before = self
            .of_zone(&me.availability_zone)
            .filter(|other| rank(other) < mine)
            .count();
        before < count
    }
}

/// The order of instances within their zone; by hash, so that names don't make one relay for ever.
fn rank(instance: &ids::InstanceId) -> ContentHash {
    ContentHash::of(instance.as_str().as_bytes())
}
