//! Tombstones: digests of idempotency keys whose outcome is no longer retained, so that the keys never run
//! again.

use std::collections;

/// Digests of the keys that an incarnation accepted and no longer stores.
#[derive(Debug, Clone, Default)]
pub(super) struct Tombstones {
    digests: collections::BTreeSet<u64>,
}

impl Tombstones {
    pub(super) fn extend(&mut self, digests: &[u64]) {
        self.digests.extend(digests);
    }

    pub(super) fn insert(&mut self, digest: u64) {
        self.digests.insert(digest);
    }

    pub(super) fn contains(&self, digest: u64) -> bool {
        self.digests.contains(&digest)
    }

    pub(super) fn len(&self) -> usize {
        self.digests.len()
    }

    pub(super) fn to_vec(&self) -> Vec<u64> {
        self.digests.iter().copied().collect()
    }
}
