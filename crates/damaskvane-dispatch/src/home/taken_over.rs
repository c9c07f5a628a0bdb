//! A departed home (an instance's incarnation that has left) whose keys this instance took over.

use std::collections;

use damaskvane_core::time;

use crate::home::{name, scope, tombstones};

/// A departed home whose handover has arrived in part or completely.
#[derive(Debug)]
pub(super) struct TakenOverHome {
    home: name::Home,
    tombstones: tombstones::Tombstones,
    missing_parts: collections::BTreeSet<u32>,
    until: time::TimeMs,
}

impl TakenOverHome {
    pub(super) fn new(home: name::Home, parts: u32, until: time::TimeMs) -> Self {
        Self {
            home,
            tombstones: tombstones::Tombstones::default(),
            missing_parts: (0..parts).collect(),
            until,
        }
    }

    pub(super) const fn home(&self) -> &name::Home {
        &self.home
    }

    /// Records a part and its tombstones; returns `false` if the part had already arrived.
    pub(super) fn receive(&mut self, part: u32, digests: &[u64]) -> bool {
        self.tombstones.extend(digests);
        self.missing_parts.remove(&part)
    }

    /// Returns whether all parts have arrived; until then, an absent key may be in a missing part.
    pub(super) fn is_complete(&self) -> bool {
        self.missing_parts.is_empty()
    }

    pub(super) fn is_expired(&self, now: time::TimeMs) -> bool {
        self.until <= now
    }

    pub(super) fn has_tombstone(&self, scope: &scope::Scope) -> bool {
        self.tombstones.contains(scope.digest())
    }

    pub(super) fn add_tombstone(&mut self, scope: &scope::Scope) {
        self.tombstones.insert(scope.digest());
    }

    pub(super) fn tombstones(&self) -> &tombstones::Tombstones {
        &self.tombstones
    }
}
