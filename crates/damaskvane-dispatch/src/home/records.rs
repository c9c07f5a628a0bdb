//! The records of a key table, with their memory and the times at which their states end.

use std::collections;

use damaskvane_core::time;

use crate::home::response_size::ResponseSize;
use crate::home::{permit, record, scope};
use crate::outcome;

/// Memory in bytes of a key without its response: two ids of at most 64 bytes, a hash, map and queue entries.
const ENTRY_BYTES: u64 = 400;

/// Records by scope (a key and its home instance), and scopes by the time at which the record's state ends.
#[derive(Debug)]
pub(super) struct Records<A> {
    entries: collections::BTreeMap<scope::Scope, record::Record<A>>,
    due: collections::BTreeSet<(time::TimeMs, scope::Scope)>,
    running: usize,
    bytes: u64,
    reserved_bytes: u64,
}

impl<A: ResponseSize> Records<A> {
    /// Returns empty records; each running key reserves `reserved_bytes` for its response.
    pub(super) const fn new(reserved_bytes: u64) -> Self {
        Self {
            entries: collections::BTreeMap::new(),
            due: collections::BTreeSet::new(),
            running: 0,
            bytes: 0,
            reserved_bytes,
        }
    }

    pub(super) fn get(&self, scope: &scope::Scope) -> Option<&record::Record<A>> {
        self.entries.get(scope)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) const fn running(&self) -> usize {
        self.running
    }

    pub(super) const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the memory in bytes after one more key is accepted.
    pub(super) const fn bytes_with_one_more(&self) -> u64 {
        self.bytes + ENTRY_BYTES + self.reserved_bytes
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&scope::Scope, &record::Record<A>)> {
        self.entries.iter()
    }

    pub(super) fn insert(&mut self, scope: scope::Scope, record: record::Record<A>) {
        self.remove(&scope);
        self.add_to_totals(&record.state);
        self.due.insert((record.state.due(), scope.clone()));
        self.entries.insert(scope, record);
    }

    pub(super) fn remove(&mut self, scope: &scope::Scope) -> Option<record::Record<A>> {
        let record = self.entries.remove(scope)?;
        self.subtract_from_totals(&record.state);
        self.due.remove(&(record.state.due(), scope.clone()));
        Some(record)
    }

    /// Adds a waiter to a running key; returns `false` at `max_waiters` or if the key does not run.
    pub(super) fn join(
        &mut self,
        scope: &scope::Scope,
        waiter: permit::WaiterId,
        try_number: u32,
        max_waiters: usize,
    ) -> bool {
        let Some(record) = self.entries.get_mut(scope) else {
            return false;
        };
        let record::State::Running { waiters, .. } = &mut record.state else {
            return false;
        };
        if waiters.len() >= max_waiters {
            return false;
        }
        waiters.push(waiter);
        record.highest_try = record.highest_try.max(try_number);
        true
    }

    pub(super) fn raise_highest_try(&mut self, scope: &scope::Scope, try_number: u32) {
        if let Some(record) = self.entries.get_mut(scope) {
            record.highest_try = record.highest_try.max(try_number);
        }
    }

    pub(super) fn remove_waiter(&mut self, scope: &scope::Scope, waiter: permit::WaiterId) {
        if let Some(record) = self.entries.get_mut(scope)
            && let record::State::Running { waiters, .. } = &mut record.state
        {
            waiters.retain(|waiting| *waiting != waiter);
        }
    }

    /// Removes and returns the next key whose state has ended by `now`.
    pub(super) fn pop_due(
        &mut self,
        now: time::TimeMs,
    ) -> Option<(scope::Scope, record::Record<A>)> {
        let (_, scope) = self.due.first().filter(|(due, _)| *due <= now)?;
        let scope = scope.clone();
        let record = self.remove(&scope)?;
        Some((scope, record))
    }

    fn size(&self, state: &record::State<A>) -> u64 {
        let response_bytes = match state {
            record::State::Running { .. } => self.reserved_bytes,
            record::State::Done {
                outcome: outcome::Outcome::Completed(response),
                ..
            } => response.size_bytes(),
            record::State::Done { .. } => 0,
        };
        ENTRY_BYTES + response_bytes
    }

    fn add_to_totals(&mut self, state: &record::State<A>) {
        self.bytes += self.size(state);
        self.running += usize::from(state.is_running());
    }

    fn subtract_from_totals(&mut self, state: &record::State<A>) {
        self.bytes -= self.size(state);
        self.running -= usize::from(state.is_running());
    }
}
