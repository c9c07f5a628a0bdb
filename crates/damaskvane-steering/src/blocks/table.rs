//! Lookup table from client blocks to steering classes.
//!
//! A client block is a group of clients; a class is a group of blocks that are steered alike.
//!
//! ```
//! use damaskvane_steering::blocks;
//!
//! let key = blocks::BlockKey::address(7);
//! let table = blocks::BlockTable::default();
//! let next = table.with_changes([(key, Some(blocks::Class::new(1)))]);
//! assert_eq!((table.class(key), next.class(key)), (None, Some(blocks::Class::new(1))));
//! ```

use std::collections::BTreeMap;

use crate::blocks::chunk::Chunk;
use crate::blocks::key::{BlockKey, Class};

const CHUNKS: usize = 1 << 16;

/// Immutable map from client blocks to steering classes.
#[derive(Debug, Clone)]
pub struct BlockTable {
    chunks: Box<[Chunk]>,
}

/// two client blocks have the same key {key}; rename one of them
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct DuplicateKeyError {
    /// Key that occurs twice.
    pub key: BlockKey,
}

impl Default for BlockTable {
    fn default() -> Self {
        Self {
            chunks: vec![Chunk::empty(); CHUNKS].into(),
        }
    }
}

impl BlockTable {
    /// Builds a table from blocks in any order.
    ///
    /// # Errors
    ///
    /// Returns [`DuplicateKeyError`] if two blocks have the same key.
    pub fn build(
        blocks: impl IntoIterator<Item = (BlockKey, Class)>,
    ) -> Result<Self, DuplicateKeyError> {
        let mut blocks: Vec<_> = blocks.into_iter().collect();
        blocks.sort_unstable_by_key(|(key, _)| *key);
        let pairs = || blocks.iter().zip(blocks.iter().skip(1));
        if let Some((first, _)) = pairs().find(|(left, right)| left.0 == right.0) {
            return Err(DuplicateKeyError { key: first.0 });
        }
        let mut table = Self::default();
        for blocks in blocks.chunk_by(|left, right| left.0.chunk() == right.0.chunk()) {
            let tails: Vec<_> = blocks
                .iter()
                .map(|(key, class)| (key.tail(), *class))
                .collect();
            if let Some((key, _)) = blocks.first() {
                table.chunks[key.chunk()] = Chunk::new(&tails);
            }
        }
        Ok(table)
    }

    /// Returns the class of a block, or `None` if the table does not contain the block.
    #[must_use]
    pub fn class(&self, key: BlockKey) -> Option<Class> {
        self.chunks.get(key.chunk())?.class(key.tail())
    }

    /// Returns a table in which the given blocks are set or, without a class, removed.
    ///
    /// Only the chunks of these blocks are rebuilt; the others are shared with this table.
    #[must_use]
    pub fn with_changes(
        &self,
        changes: impl IntoIterator<Item = (BlockKey, Option<Class>)>,
    ) -> Self {
        let mut by_chunk: BTreeMap<usize, BTreeMap<u32, Option<Class>>> = BTreeMap::new();
        for (key, class) in changes {
            by_chunk
                .entry(key.chunk())
                .or_default()
                .insert(key.tail(), class);
        }
        let mut next = self.clone();
        for (index, changes) in by_chunk {
            if let Some(chunk) = next.chunks.get_mut(index) {
                *chunk = changed(chunk, changes);
            }
        }
        next
    }

    /// Returns the number of blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.chunks.iter().map(Chunk::len).sum()
    }

    /// Returns whether the table has no blocks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of chunks that the two tables do not share.
    #[must_use]
    pub fn chunks_not_shared(&self, other: &Self) -> usize {
        let pairs = self.chunks.iter().zip(&other.chunks);
        pairs
            .filter(|(left, right)| !left.is_shared_with(right))
            .count()
    }
}

fn changed(chunk: &Chunk, changes: BTreeMap<u32, Option<Class>>) -> Chunk {
    let mut blocks: BTreeMap<u32, Class> = chunk.blocks().collect();
    for (tail, class) in changes {
        match class {
            Some(class) => blocks.insert(tail, class),
            None => blocks.remove(&tail),
        };
    }
    let blocks: Vec<_> = blocks.into_iter().collect();
    Chunk::new(&blocks)
}
