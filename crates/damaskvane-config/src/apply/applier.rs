//! The applier, which holds an instance's active configuration and switches it to newer heads.
//!
//! A head lists all objects of one configuration version; a chunk holds the state of one object.
//!
//! ```
//! use damaskvane_config::apply;
//!
//! let mut applier = apply::Applier::default();
//! let outcome = applier.offer_chunks([b"stray".as_slice()]);
//! assert_eq!(outcome, apply::ApplyOutcome::Ignored(apply::IgnoreReason::NoHeadWaiting));
//! ```

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

use crate::apply::active_config::ActiveConfig;
use crate::apply::counts::ApplyCounts;
use crate::apply::outcome::{ApplyOutcome, IgnoreReason};
use crate::chunk::{Chunk, MAX_CHUNK_BYTES};
use crate::manifest::Head;
use crate::state::{Chunks, PreviousState, assemble_after};

/// Maximum number of heads that wait for chunks; beyond it the lowest version is dropped.
const MAX_PENDING_HEADS: usize = 3;

/// Maximum number of remembered rejected heads, which aren't fetched again and again.
const MAX_REJECTED: usize = 16;

/// A newer head whose chunks have not all arrived yet.
#[derive(Debug, Clone)]
struct PendingHead {
    head: Head,
    bytes: Arc<[u8]>,
    chunks: Chunks,
}

/// Switches an instance to newer heads, from any source, and never back to an older version.
#[derive(Debug, Clone, Default)]
pub struct Applier {
    active_config: Option<Arc<ActiveConfig>>,
    pending: BTreeMap<ids::ConfigVersion, PendingHead>,
    rejected: VecDeque<ContentHash>,
    counts: ApplyCounts,
}

impl Applier {
    /// Returns the active configuration, or `None` if this instance has not applied a head yet.
    #[must_use]
    pub const fn active_config(&self) -> Option<&Arc<ActiveConfig>> {
        self.active_config.as_ref()
    }

    /// Returns the active version, or 0 if this instance has not applied a head yet.
    #[must_use]
    pub fn version(&self) -> ids::ConfigVersion {
        self.active_config
            .as_ref()
            .map_or(ids::ConfigVersion::new(0), |active_config| {
                active_config.version()
            })
    }

    /// Returns the counters since this instance started.
    #[must_use]
    pub const fn counts(&self) -> ApplyCounts {
        self.counts
    }

    /// Handles an encoded head, and applies it if it is newer and all its chunks have arrived.
    pub fn offer_head(&mut self, bytes: &[u8]) -> ApplyOutcome {
        if self.rejected.contains(&ContentHash::of(bytes)) {
            return ApplyOutcome::Ignored(IgnoreReason::RejectedBefore);
        }
        let Ok(head) = Head::decode(bytes) else {
            self.counts.malformed += 1;
            return ApplyOutcome::Ignored(IgnoreReason::Malformed);
        };
        if head.version <= self.version() {
            return ApplyOutcome::Ignored(IgnoreReason::NotNewer);
        }
        let version = head.version;
        let is_pending = self
            .pending
            .get(&version)
            .is_some_and(|pending| *pending.bytes == *bytes);
        if !is_pending {
            let pending = self.new_pending_head(head, bytes);
            self.pending.insert(version, pending);
            self.drop_lowest_pending();
        }
        self.try_switch(version)
    }

    /// Handles received chunks, and applies the newest pending head that is now complete.
    ///
    /// Chunks may be corrupted: each is hashed here and stored only if a pending head names the
    /// hash.
    pub fn offer_chunks<'a>(&mut self, chunks: impl IntoIterator<Item = &'a [u8]>) -> ApplyOutcome {
        for bytes in chunks {
            if bytes.len() > MAX_CHUNK_BYTES || !self.store_chunk(&Chunk::from_bytes(bytes)) {
                self.counts.stray_chunks += 1;
            }
        }
        let versions: Vec<_> = self.pending.keys().rev().copied().collect();
        let mut last = ApplyOutcome::Ignored(IgnoreReason::NoHeadWaiting);
        for version in versions {
            last = self.try_switch(version);
            if matches!(last, ApplyOutcome::Applied(_)) {
                return last;
            }
        }
        last
    }

    /// Returns `false` and counts a mismatch if a peer has the same version but another state hash.
    ///
    /// The head's conditional update gives each version exactly one state. If two instances differ
    /// all the same, a chunk, the store or the program is faulty, and the response that a client
    /// gets depends on the instance that serves it.
    pub fn check_peer_state(
        &mut self,
        version: ids::ConfigVersion,
        state_hash: &ContentHash,
    ) -> bool {
        let Some(active_config) = &self.active_config else {
            return true;
        };
        let agrees = active_config.version() != version || active_config.state_hash == *state_hash;
        if !agrees {
            self.counts.state_mismatches += 1;
        }
        agrees
    }

    fn new_pending_head(&self, head: Head, bytes: &[u8]) -> PendingHead {
        let mut chunks = Chunks::new();
        for entry in head.entries() {
            let found = self
                .active_config
                .as_ref()
                .and_then(|active_config| active_config.chunks.get(&entry.hash));
            let found = found.or_else(|| self.find_pending_chunk(&entry.hash));
            if let Some(chunk) = found {
                chunks.insert(entry.hash, chunk.clone());
            }
        }
        PendingHead {
            head,
            bytes: bytes.into(),
            chunks,
        }
    }

    fn find_pending_chunk(&self, hash: &ContentHash) -> Option<&Chunk> {
        self.pending
            .values()
            .find_map(|pending| pending.chunks.get(hash))
    }

    /// Stores a chunk for every pending head that names it, and returns whether any head did.
    fn store_chunk(&mut self, chunk: &Chunk) -> bool {
        let mut is_needed = false;
        for pending in self.pending.values_mut() {
            let mut entries = pending.head.entries();
            if entries.any(|entry| entry.hash == chunk.hash()) {
                pending.chunks.insert(chunk.hash(), chunk.clone());
                is_needed = true;
            }
        }
        is_needed
    }

    fn drop_lowest_pending(&mut self) {
        while self.pending.len() > MAX_PENDING_HEADS {
            self.pending.pop_first();
        }
    }

    fn try_switch(&mut self, version: ids::ConfigVersion) -> ApplyOutcome {
        let Some(pending) = self.pending.get(&version) else {
            return ApplyOutcome::Ignored(IgnoreReason::NoHeadWaiting);
        };
        let missing = missing_chunks(pending);
        if !missing.is_empty() {
            return ApplyOutcome::MissingChunks(missing);
        }
        // The old state stays active until the new one is complete and valid.
        let previous = self
            .active_config
            .as_ref()
            .map(|active_config| PreviousState {
                head: &active_config.head,
                state: &active_config.state,
            });
        match assemble_after(previous, &pending.head, &pending.chunks) {
            Ok(state) => {
                let next = ActiveConfig {
                    head: pending.head.clone(),
                    head_bytes: Arc::clone(&pending.bytes),
                    state_hash: pending.head.state_hash(),
                    state: Arc::new(state),
                    chunks: pending.chunks.clone(),
                };
                self.switch(next)
            }
            Err(problems) => {
                self.reject(version);
                ApplyOutcome::Rejected(problems)
            }
        }
    }

    fn reject(&mut self, version: ids::ConfigVersion) {
        self.counts.rejected += 1;
        if let Some(pending) = self.pending.remove(&version) {
            self.rejected.push_back(ContentHash::of(&pending.bytes));
        }
        while self.rejected.len() > MAX_REJECTED {
            self.rejected.pop_front();
        }
    }

    /// Makes a complete and valid head the active configuration.
    ///
    /// A lower version would bring back, on this instance only, what a later ticket removed; to
    /// operators the instance would seem to have reverted. The version is checked here again, since
    /// this is the only place that switches, whatever the callers have checked.
    fn switch(&mut self, next: ActiveConfig) -> ApplyOutcome {
        let version = next.version();
        if version <= self.version() {
            self.counts.unsafe_switches += 1;
            debug_assert!(false, "the active version must never decrease");
            return ApplyOutcome::Ignored(IgnoreReason::NotNewer);
        }
        self.active_config = Some(Arc::new(next));
        self.counts.applied += 1;
        self.pending.retain(|pending, _| *pending > version);
        ApplyOutcome::Applied(version)
    }
}

fn missing_chunks(pending: &PendingHead) -> Vec<ContentHash> {
    let mut missing: Vec<ContentHash> = pending
        .head
        .entries()
        .map(|entry| entry.hash)
        .filter(|hash| !pending.chunks.contains_key(hash))
        .collect();
    missing.sort_unstable();
    missing.dedup();
    missing
}
