//! Table of the latest digest of each zone; a digest is a report on one zone.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::digest::message::Digest;

/// Result of inserting a digest into the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The digest was stored, as the first or the latest of its zone.
    Stored,
    /// The digest was not stored: the table already holds the same digest.
    Duplicate,
    /// The digest was not stored: the table holds a later digest of the zone.
    Outdated,
}

/// A stored digest with its current age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestView<'a, D> {
    /// Zone that the digest describes.
    pub zone: &'a ids::AvailabilityZoneId,
    /// Instance that created the digest.
    pub author: &'a ids::InstanceId,
    /// Sequence number of the digest within its zone.
    pub sequence: u64,
    /// Time since the digest was created, without the transmission times.
    pub age: time::SpanMs,
    /// Content of the digest, defined by the caller.
    pub body: &'a D,
}

#[derive(Debug)]
struct StoredDigest<D> {
    digest: Digest<D>,
    stored_at: time::TimeMs,
}

/// The latest digest of each zone.
#[derive(Debug)]
pub(super) struct DigestTable<D> {
    stored: BTreeMap<ids::AvailabilityZoneId, StoredDigest<D>>,
    forget_after: time::SpanMs,
}

impl<D> StoredDigest<D> {
    fn age(&self, now: time::TimeMs) -> time::SpanMs {
        let held_ms = now.since(self.stored_at).get();
        time::SpanMs::new(self.digest.age.get().saturating_add(held_ms))
    }
}

impl<D: Clone> DigestTable<D> {
    pub(super) const fn new(forget_after: time::SpanMs) -> Self {
        Self {
            stored: BTreeMap::new(),
            forget_after,
        }
    }

    /// Stores a digest if it is later than the stored digest of its zone.
    ///
    /// Digests can be late or arrive out of order. A digest that arrives after a later one must not
    /// replace that one, because weights that follow from digests would swing back to old values. Once
    /// the stored digest is `forget_after` old, a digest with a lower sequence number is stored too: if
    /// all instances of a zone were replaced, the new ones number their digests from the start.
    pub(super) fn insert(&mut self, digest: Digest<D>, now: time::TimeMs) -> InsertOutcome {
        if let Some(stored) = self.stored.get(&digest.zone) {
            let old = (stored.digest.sequence, &stored.digest.author);
            let new = (digest.sequence, &digest.author);
            if new == old {
                return InsertOutcome::Duplicate;
            }
            if new < old && stored.age(now) < self.forget_after {
                return InsertOutcome::Outdated;
            }
        }
        let zone = digest.zone.clone();
        let stored_at = now;
        self.stored.insert(zone, StoredDigest { digest, stored_at });
        InsertOutcome::Stored
    }

    /// Returns a copy of the zone's digest to send, with the digest's age at `now`.
    pub(super) fn copy(
        &self,
        zone: &ids::AvailabilityZoneId,
        now: time::TimeMs,
    ) -> Option<Digest<D>> {
        self.stored.get(zone).map(|stored| Digest {
            age: stored.age(now),
            ..stored.digest.clone()
        })
    }

    pub(super) fn next_sequence(&self, zone: &ids::AvailabilityZoneId) -> u64 {
        self.stored
            .get(zone)
            .map_or(1, |stored| stored.digest.sequence.saturating_add(1))
    }

    pub(super) fn view(
        &self,
        zone: &ids::AvailabilityZoneId,
        now: time::TimeMs,
    ) -> Option<DigestView<'_, D>> {
        self.stored.get(zone).map(|stored| view(stored, now))
    }

    pub(super) fn views(&self, now: time::TimeMs) -> impl Iterator<Item = DigestView<'_, D>> {
        self.stored.values().map(move |stored| view(stored, now))
    }
}

fn view<D>(stored: &StoredDigest<D>, now: time::TimeMs) -> DigestView<'_, D> {
    DigestView {
        zone: &stored.digest.zone,
        author: &stored.digest.author,
        sequence: stored.digest.sequence,
        age: stored.age(now),
        body: &stored.digest.body,
    }
}
