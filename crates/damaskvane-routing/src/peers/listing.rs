//! The instances that the platform's list names, beside those that were heard.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::ids;

use crate::peers::ListedInstance;

/// What is known of the platform's list of instances.
#[derive(Debug, Default)]
pub(super) struct Listing {
    listed: BTreeMap<ids::InstanceId, ListedInstance>,
    /// Listed instances that were never heard.
    unheard: BTreeSet<ids::InstanceId>,
    /// Instances that were heard and aren't listed.
    unlisted: BTreeSet<ids::InstanceId>,
    /// Whether the whole list was read.
    is_whole: bool,
}

impl Listing {
    pub(super) const fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Instances that are listed or were heard.
    pub(super) fn known(&self) -> usize {
        self.listed.len() + self.unlisted.len()
    }

    pub(super) fn get(&self, instance: &ids::InstanceId) -> Option<&ListedInstance> {
        self.listed.get(instance)
    }

    /// All that are listed, in the order of their names.
    pub(super) fn listed(&self) -> impl Iterator<Item = &ListedInstance> {
        self.listed.values()
    }

    /// Those that were never heard, in the order of their names.
    pub(super) fn unheard(&self) -> impl Iterator<Item = &ListedInstance> {
        self.unheard.iter().filter_map(|id| self.listed.get(id))
    }

    /// Begins the list anew, where these instances were heard.
    pub(super) fn clear(&mut self, heard: impl IntoIterator<Item = ids::InstanceId>) {
        *self = Self {
            unlisted: heard.into_iter().collect(),
            is_whole: true,
            ..Self::default()
        };
    }

    /// Adds an instance, which was heard or never was.
    pub(super) fn add(&mut self, one: ListedInstance, is_heard: bool) {
        let instance = one.instance.clone();
        self.unlisted.remove(&instance);
        if !is_heard {
            self.unheard.insert(instance.clone());
        }
        self.listed.insert(instance, one);
    }

    /// Removes an instance, which was heard or never was.
    pub(super) fn remove(&mut self, instance: &ids::InstanceId, is_heard: bool) {
        self.unheard.remove(instance);
        if self.listed.remove(instance).is_some() && is_heard {
            self.unlisted.insert(instance.clone());
        }
    }

    /// Notes that an instance is heard.
    pub(super) fn note_heard(&mut self, instance: &ids::InstanceId) {
        self.unheard.remove(instance);
        if !self.listed.contains_key(instance) {
            self.unlisted.insert(instance.clone());
        }
    }
}
