//! Compact lookup table from client blocks to steering classes.
//!
//! A client block is a group of clients, named by an address prefix or a text; a steering class is
//! a group of blocks that are steered alike. The key of a block has 48 bits. The upper 16 bits
//! select a chunk, and the lower 32 bits are searched for in that chunk. A block takes five bytes
//! and its part of the chunk's header. Chunks are immutable and shared between tables, so a change
//! rebuilds only the chunks that it touches, and the table in use is never locked.
//!
//! ```
//! use damaskvane_steering::blocks;
//!
//! let key = blocks::BlockKey::address(0x0a00_0100);
//! let table = blocks::BlockTable::build([(key, blocks::Class::new(3))])?;
//! assert_eq!(table.class(key), Some(blocks::Class::new(3)));
//! # Ok::<(), blocks::DuplicateKeyError>(())
//! ```

mod chunk;
mod key;
mod table;

pub use key::{BlockKey, Class};
pub use table::{BlockTable, DuplicateKeyError};
