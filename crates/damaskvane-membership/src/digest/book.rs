//! The latest digest of each zone.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::digest::message::Digest;

/// What became of a digest that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It replaced what was held.
    Newer,
    /// The same one is held already.
    Same,
    /// A later one is held.
    Overtaken,
}

/// A digest as it is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestView<'a, D> {
    /// The zone.
    pub zone: &'a ids::AvailabilityZoneId,
    /// The instance that made it.
    pub author: &'a ids::InstanceId,
    /// Its number.
    pub sequence: u64,
    /// The time since it was made.
    pub age: time::SpanMs,
    /// What it says.
    pub body: &'a D,
}

#[derive(Debug)]
struct Held<D> {
    digest: Digest<D>,
    taken_at: time::TimeMs,
}

/// The latest digest of each zone.
#[derive(Debug)]
pub(super) struct DigestBook<D> {
    held: BTreeMap<ids::AvailabilityZoneId, Held<D>>,
    forget: time::SpanMs,
}

impl<D> Held<D> {
    fn age(&self, now: time::TimeMs) -> time::SpanMs {
        let held_ms = now.since(self.taken_at).get();
        time::SpanMs::new(self.digest.age.get().saturating_add(held_ms))
    }
}

impl<D: Clone> DigestBook<D> {
    pub(super) const fn new(forget: time::SpanMs) -> Self {
        Self {
            held: BTreeMap::new(),
            forget,
        }
    }

    /// Keeps a digest if it is later than the one that is held.
    ///
    /// Digests can be late or cross on their way. One that arrives after a later one must not replace
    /// it: weights would swing back to old numbers. After `forget` without any, a lower sequence is taken
    /// too, from a zone whose instances were all replaced and have begun to count anew.
    pub(super) fn take(&mut self, digest: Digest<D>, now: time::TimeMs) -> Taken {
        if let Some(held) = self.held.get(&digest.zone) {
            let old = (held.digest.sequence, &held.digest.author);
            let new = (digest.sequence, &digest.author);
            if new == old {
                return Taken::Same;
            }
            if new < old && held.age(now) < self.forget {
                return Taken::Overtaken;
            }
        }
        let zone = digest.zone.clone();
        let taken_at = now;
        self.held.insert(zone, Held { digest, taken_at });
        Taken::Newer
    }

    /// A copy for sending, with its age brought up to date.
    pub(super) fn copy(
        &self,
        zone: &ids::AvailabilityZoneId,
        now: time::TimeMs,
    ) -> Option<Digest<D>> {
        self.held.get(zone).map(|held| Digest {
            age: held.age(now),
            ..held.digest.clone()
        })
    }

    pub(super) fn next_sequence(&self, zone: &ids::AvailabilityZoneId) -> u64 {
        self.held
            .get(zone)
            .map_or(1, |held| held.digest.sequence.saturating_add(1))
    }

    pub(super) fn view(
        &self,
        zone: &ids::AvailabilityZoneId,
        now: time::TimeMs,
    ) -> Option<DigestView<'_, D>> {
        self.held.get(zone).map(|held| view(held, now))
    }

    pub(super) fn views(&self, now: time::TimeMs) -> impl Iterator<Item = DigestView<'_, D>> {
        self.held.values().map(move |held| view(held, now))
    }
}

fn view<D>(held: &Held<D>, now: time::TimeMs) -> DigestView<'_, D> {
    DigestView {
        zone: &held.digest.zone,
        author: &held.digest.author,
        sequence: held.digest.sequence,
        age: held.age(now),
        body: &held.digest.body,
    }
}
