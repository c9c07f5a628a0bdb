//! Keys and values of the block table.
//!
//! ```
//! use damaskvane_steering::blocks;
//!
//! let block = "sask-017".parse()?;
//! assert_eq!(blocks::BlockKey::name(&block), blocks::BlockKey::name(&block));
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use core::fmt;

use damaskvane_core::{hash, ids};

const ADDRESS_SHIFT: u32 = 16;
const TAIL_BITS: u32 = 32;

/// Key of a client block in the table, 48 bits. A client block is a group of clients that is named
/// by an address prefix or a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BlockKey(u64);

impl BlockKey {
    /// Returns the key of a block named by an address prefix.
    ///
    /// Two prefixes never have the same key.
    #[must_use]
    pub const fn address(prefix: u32) -> Self {
        Self((prefix as u64) << ADDRESS_SHIFT)
    }

    /// Returns the key of a block named by text: 48 bits of the hash of the name.
    ///
    /// About one of forty sets of 3.6 million names has two names with the same key.
    /// [`BlockTable::build`](crate::blocks::BlockTable::build) reports such a pair as an error.
    #[must_use]
    pub fn name(block: &ids::ClientBlock) -> Self {
        let hash = hash::ContentHash::of(block.as_str().as_bytes());
        let head = hash.as_bytes().iter().take(6);
        Self(head.fold(0, |key, byte| key << 8 | u64::from(*byte)))
    }

    pub(super) const fn chunk(self) -> usize {
        (self.0 >> TAIL_BITS) as usize
    }

    pub(super) const fn tail(self) -> u32 {
        (self.0 & u32::MAX as u64) as u32
    }
}

impl fmt::Display for BlockKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:012x}", self.0)
    }
}

/// Index of a steering class, a group of client blocks that are steered alike. There are at most
/// 256 classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class(u8);

impl Class {
    /// Creates the class with this index.
    #[must_use]
    pub const fn new(index: u8) -> Self {
        Self(index)
    }

    /// Returns the index of the class.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
