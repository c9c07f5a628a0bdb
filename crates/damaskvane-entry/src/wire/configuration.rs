//! Messages that pass the configuration on.
//!
//! ```
//! use damaskvane_entry::wire;
//!
//! assert_eq!(wire::ConfigurationMessage::GetHead.kind(), "ask_head");
//! ```

use damaskvane_core::{hash, ids};
use serde::{Deserialize, Serialize};

/// The most bytes of chunks in one message; a single larger chunk still travels alone.
pub const MAX_CHUNK_BYTES: usize = 500_000;

/// A message that passes the configuration on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// This version is in force here.
    #[serde(rename = "f")]
    ActiveVersion {
        /// The version.
        #[serde(rename = "v")]
        version: ids::ConfigVersion,
        /// The hash over its state.
        #[serde(rename = "h")]
        state_hash: hash::ContentHash,
    },
    /// Send the head in force.
    #[serde(rename = "ah")]
    GetHead,
    /// The head in force here.
    #[serde(rename = "h")]
    Head {
        /// Its bytes as they were accepted.
        #[serde(with = "serde_bytes", rename = "b")]
        bytes: Vec<u8>,
    },
    /// Send these chunks.
    #[serde(rename = "ac")]
    GetChunks {
        /// Their hashes.
        #[serde(rename = "h")]
        hashes: Vec<hash::ContentHash>,
    },
    /// Chunks, perhaps not all that were asked for.
    #[serde(rename = "c")]
    Chunks {
        /// Their bytes.
        #[serde(rename = "b")]
        chunks: Vec<serde_bytes::ByteBuf>,
    },
}

impl ConfigurationMessage {
    /// The word under which it is counted.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::ActiveVersion { .. } => "in_force",
            Self::GetHead => "ask_head",
            Self::Head { .. } => "head",
            Self::GetChunks { .. } => "ask_chunks",
            Self::Chunks { .. } => "chunks",
        }
    }
}
