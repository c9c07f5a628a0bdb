//! Lookup of the team to which an API key belongs.

use crate::teams::KeyDigest;

/// The digests of all keys, each with the index of its team.
#[derive(Debug, Clone, Default)]
pub struct KeyTable {
    /// Ordered by the digests' prefixes.
    entries: Vec<(KeyDigest, u32)>,
}

impl KeyTable {
    /// Builds a table of digests with the indices of their teams.
    pub fn new(entries: impl IntoIterator<Item = (KeyDigest, u32)>) -> Self {
        let mut entries: Vec<_> = entries.into_iter().collect();
        entries.sort_by_key(|(digest, _)| digest.prefix());
        Self { entries }
    }

    /// Returns the index of the team that holds the key, or `None` if no team holds it.
    ///
    /// The search uses only a prefix of the digest, from which nothing of the key can be derived; the whole digests are
    /// compared in constant time.
    #[must_use]
    pub fn find(&self, digest: KeyDigest) -> Option<u32> {
        let prefix = digest.prefix();
        let first = self
            .entries
            .partition_point(|(one, _)| one.prefix() < prefix);
        let same_prefix = self.entries[first..]
            .iter()
            .take_while(|(one, _)| one.prefix() == prefix);
        let mut found = same_prefix.filter(|(one, _)| *one == digest);
        found.next().map(|(_, team)| *team)
    }

    /// Returns the teams of the first key that two teams hold, or `None` if there is no such key.
    #[must_use]
    pub fn shared(&self) -> Option<(u32, u32)> {
        let mut pairs = self.entries.windows(2);
        let is_shared =
            |pair: &&[(KeyDigest, u32)]| pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1;
        pairs.find(is_shared).map(|pair| (pair[0].1, pair[1].1))
    }

    /// Returns the number of keys.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no key.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
