//! The platform's list of instances, compared with the instances whose heartbeats were received.
//!
//! The list holds the instances that are registered in the platform's store.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::ids;

use crate::peers::ListedInstance;

/// The platform's list of instances, as far as this instance has read the list.
#[derive(Debug, Default)]
pub(super) struct InstanceList {
    listed: BTreeMap<ids::InstanceId, ListedInstance>,
    /// Listed instances from which this instance has received no heartbeat.
    without_heartbeat: BTreeSet<ids::InstanceId>,
    /// Instances that aren't listed, but from which this instance has received a heartbeat.
    unlisted: BTreeSet<ids::InstanceId>,
    /// Whether the whole list was read at least once.
    is_complete: bool,
}

impl InstanceList {
    pub(super) const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the number of instances that are listed or have sent a heartbeat to this instance.
    pub(super) fn known(&self) -> usize {
        self.listed.len() + self.unlisted.len()
    }

    /// Returns whether the list describes the record's instance as the record does.
    pub(super) fn is_listed_as(&self, record: &ListedInstance) -> bool {
        let listed = self.listed.get(&record.instance);
        listed.is_some_and(|listed| listed.describes_same(record))
    }

    /// Returns all listed instances in the order of their names.
    pub(super) fn listed(&self) -> impl Iterator<Item = &ListedInstance> {
        self.listed.values()
    }

    /// Returns the listed instances from which no heartbeat was received, in the order of their names.
    pub(super) fn without_heartbeat(&self) -> impl Iterator<Item = &ListedInstance> {
        self.without_heartbeat
            .iter()
            .filter_map(|id| self.listed.get(id))
    }

    /// Empties the list, for a caller that then adds all listed instances. `received` are the instances from which a
    /// heartbeat was received.
    pub(super) fn clear(&mut self, received: impl IntoIterator<Item = ids::InstanceId>) {
        *self = Self {
            unlisted: received.into_iter().collect(),
            is_complete: true,
            ..Self::default()
        };
    }

    /// Adds a listed instance. `has_heartbeat` states whether a heartbeat was received from the instance.
    pub(super) fn add(&mut self, one: ListedInstance, has_heartbeat: bool) {
        let instance = one.instance.clone();
        self.unlisted.remove(&instance);
        if !has_heartbeat {
            self.without_heartbeat.insert(instance.clone());
        }
        self.listed.insert(instance, one);
    }

    /// Removes a listed instance. `has_heartbeat` states whether a heartbeat was received from the instance.
    pub(super) fn remove(&mut self, instance: &ids::InstanceId, has_heartbeat: bool) {
        self.without_heartbeat.remove(instance);
        if self.listed.remove(instance).is_some() && has_heartbeat {
            self.unlisted.insert(instance.clone());
        }
    }

    /// Records that a heartbeat was received from an instance.
    pub(super) fn record_heartbeat(&mut self, instance: &ids::InstanceId) {
        self.without_heartbeat.remove(instance);
        if !self.listed.contains_key(instance) {
            self.unlisted.insert(instance.clone());
        }
    }
}
