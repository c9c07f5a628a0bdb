//! Splits a table of idempotency keys into the messages of a handover to the successor of a leaving instance.
//!
//! A tombstone is the digest of a key whose outcome is no longer retained. A superseded attempt must not run,
//! since a later one was answered with *not run*.

use crate::home::{handover, name, scope, superseded};

/// The contents of a key table that a successor needs.
#[derive(Debug)]
pub(super) struct TableSnapshot<A> {
    pub(super) from: name::Home,
    pub(super) successor: name::Home,
    pub(super) homes: Vec<(name::Home, Vec<u64>)>,
    pub(super) records: Vec<handover::HandoverRecord<A>>,
    pub(super) superseded: Vec<(scope::Scope, superseded::SupersededAttempts)>,
}

impl<A> TableSnapshot<A> {
    /// Splits the snapshot into parts of at most `records_per_part` records.
    ///
    /// The first part also carries the tombstones and the superseded attempts.
    pub(super) fn split(self, records_per_part: usize) -> Vec<handover::HandoverPart<A>> {
        let chunk = records_per_part.max(1);
        let parts = self.records.len().div_ceil(chunk).max(1);
        let mut homes = self.homes;
        let mut superseded = self.superseded;
        let mut records = self.records.into_iter();
        let mut messages = Vec::with_capacity(parts);
        for part in 0..parts {
            let later_homes = homes.iter().map(|(home, _)| (home.clone(), Vec::new()));
            let later_homes = later_homes.collect();
            messages.push(handover::HandoverPart {
                from: self.from.clone(),
                successor: self.successor.clone(),
                part: u32::try_from(part).unwrap_or(u32::MAX),
                parts: u32::try_from(parts).unwrap_or(u32::MAX),
                homes: core::mem::replace(&mut homes, later_homes),
                records: records.by_ref().take(chunk).collect(),
                superseded: core::mem::take(&mut superseded),
            });
        }
        messages
    }
}
