//! The active configuration of an instance.
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

/// An active head with its decoded state, and the bytes that peers may fetch.
#[derive(Debug, Clone)]
pub struct ActiveConfig {
    pub(super) head: Head,
    pub(super) head_bytes: Arc<[u8]>,
    pub(super) state_hash: ContentHash,
    pub(super) state: Arc<ConfigState>,
    pub(super) chunks: Chunks,
}

impl ActiveConfig {
    /// Returns the version of the active head.
    #[must_use]
    pub const fn version(&self) -> ids::ConfigVersion {
        self.head.version
    }

    /// Returns the decoded head.
    #[must_use]
    pub const fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the bytes of the head as received, to be sent to peers.
    #[must_use]
    pub fn head_bytes(&self) -> Arc<[u8]> {
        Arc::clone(&self.head_bytes)
    }

    /// Returns the hash over all declared objects, which instances with the same version compare to
    /// detect faults.
    #[must_use]
    pub const fn state_hash(&self) -> ContentHash {
        self.state_hash
    }

    /// Returns the decoded declarations.
    #[must_use]
    pub fn state(&self) -> Arc<ConfigState> {
        Arc::clone(&self.state)
    }

    /// Returns the bytes of a chunk of the active version, to be sent to peers.
    #[must_use]
    pub fn chunk(&self, hash: &ContentHash) -> Option<Arc<[u8]>> {
        self.chunks.get(hash).map(Chunk::shared_bytes)
    }
}
