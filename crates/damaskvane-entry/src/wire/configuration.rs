//! Messages that distribute the configuration between entry instances.
//!
//! The head of a configuration version lists its objects; a chunk holds the state of one object.
//!
//! ```
//! use damaskvane_entry::wire;
//!
//! assert_eq!(wire::ConfigurationMessage::GetHead.kind(), "ask_head");
//! ```

use damaskvane_core::{hash, ids};
use serde::{Deserialize, Serialize};

/// Maximum total size of the chunks in one message, in bytes. A larger chunk is sent in a message of its own.
pub const MAX_CHUNK_BYTES: usize = 500_000;

/// Message that distributes the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// Announces the configuration version that is active on the sender.
    #[serde(rename = "f")]
    ActiveVersion {
        /// Active configuration version.
        #[serde(rename = "v")]
        version: ids::ConfigVersion,
        /// Hash over all declared objects of this version.
        #[serde(rename = "h")]
        state_hash: hash::ContentHash,
    },
    /// Requests the head of the active configuration.
    #[serde(rename = "ah")]
    GetHead,
    /// Contains the head of the configuration that is active on the sender.
    #[serde(rename = "h")]
    Head {
        /// Serialized head, byte for byte as the sender accepted it.
        #[serde(with = "serde_bytes", rename = "b")]
        bytes: Vec<u8>,
    },
    /// Requests chunks of the configuration.
    #[serde(rename = "ac")]
    GetChunks {
        /// Hashes of the requested chunks.
        #[serde(rename = "h")]
        hashes: Vec<hash::ContentHash>,
    },
    /// Contains requested chunks, not necessarily all of them.
    #[serde(rename = "c")]
    Chunks {
        /// Serialized chunks.
        #[serde(rename = "b")]
        chunks: Vec<serde_bytes::ByteBuf>,
    },
}

impl ConfigurationMessage {
    /// Returns the label under which the message is counted.
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
