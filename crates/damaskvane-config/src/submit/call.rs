//! Store calls of a submission and the responses to them.
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

/// A call on the store, to be made by the caller of the submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read the head.
    ReadHead,
    /// Read a chunk.
    ReadChunk(ContentHash),
    /// Store a chunk under its hash, where no object may exist yet.
    WriteChunk(Chunk),
    /// Replace the broken object that is stored under a chunk's hash by that chunk.
    RepairChunk {
        /// The version of the broken object in the store.
        if_version: u64,
        /// The chunk to store.
        chunk: Chunk,
    },
    /// File an accepted ticket under its number, where no object may exist yet.
    FileTicket(ids::TicketNumber, Chunk),
    /// Update the head if it still has a given version in the store.
    WriteHead {
        /// The version in the store at which the head was read; 0 if it was absent.
        if_version: u64,
        /// The new head, encoded.
        bytes: Arc<[u8]>,
        /// The id of the submission, equal on every retry.
        write_id: String,
    },
}

/// The response of the store to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResponse {
    /// The object was read.
    Found {
        /// Its version in the store.
        version: u64,
        /// Its value.
        bytes: Arc<[u8]>,
    },
    /// There is no such object to read.
    Absent,
    /// The write took effect.
    Applied,
    /// The write had no effect, since the object has another version than required.
    Conflict,
    /// The call failed without effect, for this temporary reason.
    Failed(String),
    /// The write may have taken effect, or may still do so, for this reason.
    Unknown(String),
    /// The store rejected the call for this reason, and a retry would not help.
    Refused(String),
}

impl Call {
    /// Returns the kind and the name of the object that the call reads or writes.
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
