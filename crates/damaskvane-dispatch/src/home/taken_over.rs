//! A departed home whose keys this instance answers.

use std::collections;

use damaskvane_core::time;

use crate::home::{name, scope, tombstones};

/// A departed home whose handover is being received or has been.
#[derive(Debug)]
pub(super) struct Adopted {
    home: name::Home,
    tombstones: tombstones::Tombstones,
    missing: collections::BTreeSet<u32>,
    until: time::TimeMs,
}

impl Adopted {
    pub(super) fn new(home: name::Home, parts: u32, until: time::TimeMs) -> Self {
        Self {
            home,
            tombstones: tombstones::Tombstones::default(),
            missing: (0..parts).collect(),
            until,
        }
    }

    pub(super) const fn home(&self) -> &name::Home {
        &self.home
    }

    /// Notes a part; `false` if it was there already.
    pub(super) fn receive(&mut self, part: u32, digests: &[u64]) -> bool {
        self.tombstones.extend(digests);
        self.missing.remove(&part)
    }

    /// Whether the whole table is there; before, an absent key may be in a missing part.
    pub(super) fn is_whole(&self) -> bool {
        self.missing.is_empty()
    }

    pub(super) fn is_over(&self, now: time::TimeMs) -> bool {
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
