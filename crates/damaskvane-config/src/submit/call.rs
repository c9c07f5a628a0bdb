//! Calls on the store and their answers.
//!
//! ```
//! use damaskvane_config::submit;
//!
//! assert_eq!(submit::Call::ReadHead.key(), ("head", "config".to_owned()));
//! ```

use std::sync::Arc;

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

use crate::chunk::Chunk;

/// A call on the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read the head.
    ReadHead,
    /// Read a chunk.
    ReadChunk(ContentHash),
    /// Store a chunk that must not exist yet.
    WriteChunk(Chunk),
    /// Put a chunk in place of something broken that stands under its hash.
    RepairChunk {
        /// The version in the store of what is broken.
        if_version: u64,
        /// The chunk.
        chunk: Chunk,
    },
    /// File an accepted ticket under its number, where it must not exist yet.
    FileTicket(ids::TicketNumber, Chunk),
    /// Update the head if it has this version in the store.
    WriteHead {
        /// The version in the store that the head was read at; 0 where it is absent.
        if_version: u64,
        /// The new head.
        bytes: Arc<[u8]>,
        /// The identity of the write.
        write_id: String,
    },
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResponse {
    /// The object that was read.
    Found {
        /// Its version in the store.
        version: u64,
        /// Its value.
        bytes: Arc<[u8]>,
    },
    /// The object that was to be read is absent.
    Absent,
    /// The write took effect.
    Applied,
    /// The write had no effect, since the object has another version.
    Conflict,
    /// The call had no effect or gave nothing, for a reason that passes.
    Failed(String),
    /// The write may have taken effect, or may yet.
    Unknown(String),
    /// The store refuses the call for good.
    Refused(String),
}

impl Call {
    /// The kind and the name of the object in the store.
    #[must_use]
    pub fn key(&self) -> (&'static str, String) {
        match self {
            Self::ReadHead | Self::WriteHead { .. } => ("head", "config".to_owned()),
            Self::ReadChunk(hash) => ("chunk", hash.to_string()),
            Self::WriteChunk(chunk) | Self::RepairChunk { chunk, .. } => {
                ("chunk", chunk.hash().to_string())
            }
            Self::FileTicket(number, _) => ("ticket", number.to_string()),
        }
    }
}
