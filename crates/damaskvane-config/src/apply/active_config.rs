//! What is in force on an instance.
//!
//! ```
//! use damaskvane_config::apply;
//!
//! assert!(apply::Applier::default().active_config().is_none());
//! ```

use std::sync::Arc;

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

use crate::chunk::Chunk;
use crate::manifest::Head;
use crate::state::{Chunks, ConfigState};

/// A head in force, with everything a peer may ask for.
#[derive(Debug, Clone)]
pub struct ActiveConfig {
    pub(super) head: Head,
    pub(super) head_bytes: Arc<[u8]>,
    pub(super) state_hash: ContentHash,
    pub(super) state: Arc<ConfigState>,
    pub(super) chunks: Chunks,
}

impl ActiveConfig {
    /// The version.
    #[must_use]
    pub const fn version(&self) -> ids::ConfigVersion {
        self.head.version
    }

    /// The head.
    #[must_use]
    pub const fn head(&self) -> &Head {
        &self.head
    }

    /// The head as it was received, for peers.
    #[must_use]
    pub fn head_bytes(&self) -> Arc<[u8]> {
        Arc::clone(&self.head_bytes)
    }

    /// The hash over everything in force; instances at one version compare it.
    #[must_use]
    pub const fn state_hash(&self) -> ContentHash {
        self.state_hash
    }

    /// The typed state.
    #[must_use]
    pub fn state(&self) -> Arc<ConfigState> {
        Arc::clone(&self.state)
    }

    /// A chunk of the version in force, for peers.
    #[must_use]
    pub fn chunk(&self, hash: &ContentHash) -> Option<Arc<[u8]>> {
        self.chunks.get(hash).map(Chunk::shared_bytes)
    }
}
