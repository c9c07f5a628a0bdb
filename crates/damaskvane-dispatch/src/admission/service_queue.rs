//! The queue of one service.

use std::collections;

use damaskvane_core::time;

use crate::admission::{drain_rate, priority, queued_request};

/// Queued requests of one service, by priority and then by age.
#[derive(Debug)]
pub(super) struct ServiceQueue<R> {
    entries: collections::BTreeMap<(priority::Priority, u64), Entry<R>>,
    pub(super) rate: drain_rate::DrainRate,
}

#[derive(Debug)]
pub(super) struct Entry<R> {
    pub(super) queued: queued_request::QueuedRequest<R>,
    pub(super) since: time::TimeMs,
}

impl<R> ServiceQueue<R> {
    pub(super) fn new() -> Self {
        Self {
            entries: collections::BTreeMap::new(),
            rate: drain_rate::DrainRate::default(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn push(&mut self, serial: u64, entry: Entry<R>) {
        self.entries.insert((entry.queued.priority, serial), entry);
    }

    pub(super) fn pop_first(&mut self) -> Option<Entry<R>> {
        self.entries.pop_first().map(|(_, entry)| entry)
    }

    /// Removes and returns the request that was added last among those of the least urgent priority.
    pub(super) fn pop_last(&mut self) -> Option<Entry<R>> {
        self.entries.pop_last().map(|(_, entry)| entry)
    }

    pub(super) fn remove_where(&mut self, predicate: impl Fn(&Entry<R>) -> bool) -> Vec<Entry<R>> {
        let removed: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| predicate(entry))
            .map(|(position, _)| *position)
            .collect();
        removed
            .iter()
            .filter_map(|position| self.entries.remove(position))
            .collect()
    }
}
