//! The waiting requests of one service.

use std::collections;

use damaskvane_core::time;

use crate::admission::{drain_rate, priority, queued_request};

/// Requests by priority, then by age.
#[derive(Debug)]
pub(super) struct Lane<R> {
    waiting: collections::BTreeMap<(priority::Priority, u64), Entry<R>>,
    pub(super) rate: drain_rate::DrainRate,
}

#[derive(Debug)]
pub(super) struct Entry<R> {
    pub(super) waiting: queued_request::QueuedRequest<R>,
    pub(super) since: time::TimeMs,
}

impl<R> Lane<R> {
    pub(super) fn new() -> Self {
        Self {
            waiting: collections::BTreeMap::new(),
            rate: drain_rate::DrainRate::default(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, serial: u64, entry: Entry<R>) {
        self.waiting.insert((entry.waiting.priority, serial), entry);
    }

    pub(super) fn pop_first(&mut self) -> Option<Entry<R>> {
        self.waiting.pop_first().map(|(_, entry)| entry)
    }

    /// The least urgent and, among these, the latest.
    pub(super) fn pop_last(&mut self) -> Option<Entry<R>> {
        self.waiting.pop_last().map(|(_, entry)| entry)
    }

    pub(super) fn take_where(&mut self, is_over: impl Fn(&Entry<R>) -> bool) -> Vec<Entry<R>> {
        let over: Vec<_> = self
            .waiting
            .iter()
            .filter(|(_, entry)| is_over(entry))
            .map(|(place, _)| *place)
            .collect();
        over.iter()
            .filter_map(|place| self.waiting.remove(place))
            .collect()
    }
}
