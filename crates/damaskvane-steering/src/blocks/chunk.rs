//! Chunk of the table: sorted tails, then the classes, four per word, in one allocation.
//!
//! A tail is the lower 32 bits of a client block's key, and a class is the block's steering class
//! in 8 bits. A chunk holds the blocks whose keys have the same upper 16 bits.
//!
//! A single allocation saves a cache miss over two allocations, and the number of blocks follows
//! from the length of the allocation, so that no header is read.

use std::sync::Arc;

use crate::blocks::key::Class;

const CLASSES_PER_WORD: usize = 4;

/// Width of the first search interval around the estimated position of a tail, in tails.
const FIRST_WIDTH: usize = 8;

#[derive(Debug, Clone)]
pub(super) struct Chunk(Arc<[u32]>);

impl Chunk {
    pub(super) fn empty() -> Self {
        Self(Arc::from([]))
    }

    /// Creates a chunk from blocks sorted by tail.
    pub(super) fn new(blocks: &[(u32, Class)]) -> Self {
        let tails = blocks.iter().map(|(tail, _)| *tail);
        let words = blocks.chunks(CLASSES_PER_WORD).map(pack);
        Self(tails.chain(words).collect())
    }

    pub(super) fn class(&self, tail: u32) -> Option<Class> {
        let (tails, words) = self.0.split_at(self.len());
        let position = position_of(tails, tail);
        if *tails.get(position)? != tail {
            return None;
        }
        words
            .get(position / CLASSES_PER_WORD)
            .map(|word| unpack(*word, position))
    }

    pub(super) fn blocks(&self) -> impl Iterator<Item = (u32, Class)> {
        let (tails, words) = self.0.split_at(self.len());
        let classes = (0..tails.len()).map(|position| {
            let word = words.get(position / CLASSES_PER_WORD);
            word.map_or(Class::new(0), |word| unpack(*word, position))
        });
        tails.iter().copied().zip(classes)
    }

    /// Returns the number of blocks.
    ///
    /// A block takes one word for its tail and a quarter of a word for its class.
    pub(super) fn len(&self) -> usize {
        self.0.len() * CLASSES_PER_WORD / (CLASSES_PER_WORD + 1)
    }

    pub(super) fn is_shared_with(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

/// Returns the number of tails below `tail`.
///
/// Tails are spread almost evenly over a chunk, so the search starts at the position that an even
/// spread would give and widens from there. Such a search touches one or two cache lines, whereas
/// binary search touches one cache line in each of its first steps.
fn position_of(tails: &[u32], tail: u32) -> usize {
    let guess = ((u64::from(tail) * tails.len() as u64) >> u32::BITS) as usize;
    let mut width = FIRST_WIDTH;
    let (mut low, mut high) = (guess, guess);
    while low > 0 && tails[low - 1] >= tail {
        high = low;
        low = low.saturating_sub(width);
        width *= 2;
    }
    while high < tails.len() && tails[high] < tail {
        low = high;
        high = (high + width).min(tails.len());
        width *= 2;
    }
    low + tails[low..high].partition_point(|held| *held < tail)
}

fn pack(blocks: &[(u32, Class)]) -> u32 {
    let mut bytes = [0; CLASSES_PER_WORD];
    for (byte, (_, class)) in bytes.iter_mut().zip(blocks) {
        *byte = class.get();
    }
    u32::from_le_bytes(bytes)
}

fn unpack(word: u32, position: usize) -> Class {
    Class::new(word.to_le_bytes()[position % CLASSES_PER_WORD])
}
