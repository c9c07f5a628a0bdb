//! The instances that were heard, found by name, by zone and by start.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::{Heartbeat, StartKey};

/// An instance with its last heartbeat.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) heartbeat: Heartbeat,
    pub(super) heard_at: TimeMs,
}

/// The instances that were heard.
#[derive(Debug, Default)]
pub(super) struct Roster {
    members: BTreeMap<ids::InstanceId, Member>,
    /// The members of each zone, in the order of their names.
    by_zone: BTreeMap<ids::AvailabilityZoneId, BTreeSet<ids::InstanceId>>,
    by_key: HashMap<StartKey, ids::InstanceId>,
}

impl Roster {
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn contains(&self, instance: &ids::InstanceId) -> bool {
        self.members.contains_key(instance)
    }

    pub(super) fn get(&self, instance: &ids::InstanceId) -> Option<&Member> {
        self.members.get(instance)
    }

    pub(super) fn get_mut(&mut self, instance: &ids::InstanceId) -> Option<&mut Member> {
        self.members.get_mut(instance)
    }

    /// The member whose start has this key.
    pub(super) fn by_key_mut(&mut self, key: StartKey) -> Option<&mut Member> {
        let instance = self.by_key.get(&key)?;
        self.members.get_mut(instance)
    }

    pub(super) fn instances(&self) -> impl Iterator<Item = &ids::InstanceId> {
        self.members.keys()
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The zones with members, in the order of their names.
    pub(super) fn zones(&self) -> impl Iterator<Item = &ids::AvailabilityZoneId> {
        self.by_zone.keys()
    }

    /// The members of a zone, in the order of their names.
    pub(super) fn of_zone(&self, zone: &ids::AvailabilityZoneId) -> impl Iterator<Item = &Member> {
        let instances = self.by_zone.get(zone).into_iter().flatten();
        instances.filter_map(|id| self.members.get(id))
    }

    /// Adds a start of an instance in place of an earlier one.
    pub(super) fn add(&mut self, now: TimeMs, heartbeat: Heartbeat) {
        let instance = heartbeat.instance.clone();
        self.remove(&instance);
        let of_zone = self.by_zone.entry(heartbeat.zone.clone()).or_default();
        of_zone.insert(instance.clone());
        let key = StartKey::of(&heartbeat);
        self.by_key.insert(key, instance.clone());
        let member = Member {
            heartbeat,
            heard_at: now,
        };
        self.members.insert(instance, member);
    }

    fn remove(&mut self, instance: &ids::InstanceId) {
        let Some(member) = self.members.remove(instance) else {
            return;
        };
        self.by_key.remove(&StartKey::of(&member.heartbeat));
        if let Some(of_zone) = self.by_zone.get_mut(&member.heartbeat.zone) {
            of_zone.remove(instance);
        }
    }
}
