//! Which steering class a client block belongs to: a compact look-up table.
//!
//! Keys have 48 bits. The upper 16 choose a chunk; the lower 32 are searched in it. A block costs five
//! bytes and its part of a chunk's header. Chunks are immutable and shared between tables, so that a
//! change builds only the chunks it touches and the table in use is never locked.
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
