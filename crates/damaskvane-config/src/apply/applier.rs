//! The adopter of one instance.
//!
//! ```
//! use damaskvane_config::apply;
//!
//! let mut applier = apply::Applier::default();
//! let verdict = applier.offer_chunks([b"stray".as_slice()]);
//! assert_eq!(verdict, apply::Verdict::Ignored(apply::IgnoreReason::NothingWanted));
//! ```

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

use crate::apply::active_config::ActiveConfig;
use crate::apply::counts::AdoptCounts;
use crate::apply::verdict::{IgnoreReason, Verdict};
use crate::chunk::{Chunk, MAX_CHUNK_BYTES};
use crate::manifest::Head;
use crate::state::{Before, Chunks, assemble_after};

/// How many heads may wait for chunks at a time; the lowest versions give way.
const MAX_WAITING: usize = 3;

/// How many refused heads are remembered, so that they aren't fetched again and again.
const MAX_REFUSED: usize = 16;

/// A head that waits for chunks.
#[derive(Debug, Clone)]
struct Waiting {
    head: Head,
    bytes: Arc<[u8]>,
    chunks: Chunks,
}

/// Takes heads into force, from whatever source, never backwards.
#[derive(Debug, Clone, Default)]
pub struct Applier {
    active_config: Option<Arc<ActiveConfig>>,
    waiting: BTreeMap<ids::ConfigVersion, Waiting>,
    refused: VecDeque<ContentHash>,
    counts: AdoptCounts,
}

impl Applier {
    /// What is in force; `None` on an instance that has not adopted anything yet.
    #[must_use]
    pub const fn active_config(&self) -> Option<&Arc<ActiveConfig>> {
        self.active_config.as_ref()
    }

    /// The version in force; 0 where there is none.
    #[must_use]
    pub fn version(&self) -> ids::ConfigVersion {
        self.active_config
            .as_ref()
            .map_or(ids::ConfigVersion::new(0), |active_config| {
                active_config.version()
            })
    }

    /// The counts so far.
    #[must_use]
    pub const fn counts(&self) -> AdoptCounts {
        self.counts
    }

    /// Offers a head.
    pub fn offer_head(&mut self, bytes: &[u8]) -> Verdict {
        if self.refused.contains(&ContentHash::of(bytes)) {
            return Verdict::Ignored(IgnoreReason::RefusedBefore);
        }
        let Ok(head) = Head::decode(bytes) else {
            self.counts.malformed += 1;
            return Verdict::Ignored(IgnoreReason::Malformed);
        };
        if head.version <= self.version() {
            return Verdict::Ignored(IgnoreReason::NotNewer);
        }
        let version = head.version;
        let known = self
            .waiting
            .get(&version)
            .is_some_and(|waiting| *waiting.bytes == *bytes);
        if !known {
            let waiting = self.start_waiting(head, bytes);
            self.waiting.insert(version, waiting);
            self.drop_lowest_waiting();
        }
        self.try_switch(version)
    }

    /// Offers chunks, whole or corrupted; each is hashed here and kept only if a head wants it.
    pub fn offer_chunks<'a>(&mut self, chunks: impl IntoIterator<Item = &'a [u8]>) -> Verdict {
        for bytes in chunks {
            if bytes.len() > MAX_CHUNK_BYTES || !self.keep(&Chunk::from_bytes(bytes)) {
                self.counts.stray_chunks += 1;
            }
        }
        let versions: Vec<_> = self.waiting.keys().rev().copied().collect();
        let mut last = Verdict::Ignored(IgnoreReason::NothingWanted);
        for version in versions {
            last = self.try_switch(version);
            if matches!(last, Verdict::Adopted(_)) {
                return last;
            }
        }
        last
    }

    /// Compares a peer's state with this one; false where both have one version but not one state.
    ///
    /// The head's conditional update gives each version one content. If two differ all the same, a
    /// chunk, a store or a program is wrong, and callers get answers that depend on whom they ask.
    pub fn agrees_with(&mut self, version: ids::ConfigVersion, state_hash: &ContentHash) -> bool {
        let Some(active_config) = &self.active_config else {
            return true;
        };
        let agrees = active_config.version() != version || active_config.state_hash == *state_hash;
        if !agrees {
            self.counts.state_mismatches += 1;
        }
        agrees
    }

    fn start_waiting(&self, head: Head, bytes: &[u8]) -> Waiting {
        let mut chunks = Chunks::new();
        for entry in head.entries() {
            let held = self
                .active_config
                .as_ref()
                .and_then(|active_config| active_config.chunks.get(&entry.hash));
            let held = held.or_else(|| self.waiting_chunk(&entry.hash));
            if let Some(chunk) = held {
                chunks.insert(entry.hash, chunk.clone());
            }
        }
        Waiting {
            head,
            bytes: bytes.into(),
            chunks,
        }
    }

    fn waiting_chunk(&self, hash: &ContentHash) -> Option<&Chunk> {
        self.waiting
            .values()
            .find_map(|waiting| waiting.chunks.get(hash))
    }

    /// Keeps a chunk for every waiting head that names it; whether one did.
    fn keep(&mut self, chunk: &Chunk) -> bool {
        let mut wanted = false;
        for waiting in self.waiting.values_mut() {
            let mut entries = waiting.head.entries();
            if entries.any(|entry| entry.hash == chunk.hash()) {
                waiting.chunks.insert(chunk.hash(), chunk.clone());
                wanted = true;
            }
        }
        wanted
    }

    fn drop_lowest_waiting(&mut self) {
        while self.waiting.len() > MAX_WAITING {
            self.waiting.pop_first();
        }
    }

    fn try_switch(&mut self, version: ids::ConfigVersion) -> Verdict {
        let Some(waiting) = self.waiting.get(&version) else {
            return Verdict::Ignored(IgnoreReason::NothingWanted);
        };
        let missing = missing_chunks(waiting);
        if !missing.is_empty() {
            return Verdict::Wanting(missing);
        }
        // The old state serves until the new one is whole and valid.
        let before = self.active_config.as_ref().map(|active_config| Before {
            head: &active_config.head,
            state: &active_config.state,
        });
        match assemble_after(before, &waiting.head, &waiting.chunks) {
            Ok(state) => {
                let next = ActiveConfig {
                    head: waiting.head.clone(),
                    head_bytes: Arc::clone(&waiting.bytes),
                    state_hash: waiting.head.state_hash(),
                    state: Arc::new(state),
                    chunks: waiting.chunks.clone(),
                };
                self.switch(next)
            }
            Err(problems) => {
                self.refuse(version);
                Verdict::Refused(problems)
            }
        }
    }

    fn refuse(&mut self, version: ids::ConfigVersion) {
        self.counts.refused += 1;
        if let Some(waiting) = self.waiting.remove(&version) {
            self.refused.push_back(ContentHash::of(&waiting.bytes));
        }
        while self.refused.len() > MAX_REFUSED {
            self.refused.pop_front();
        }
    }

    /// Puts a whole and valid head in force.
    ///
    /// A version that falls would bring back what a later ticket took away, on one instance only;
    /// operators would see it as an instance that reverted. The check stands here, at the only
    /// place that switches, whatever the callers above checked.
    fn switch(&mut self, next: ActiveConfig) -> Verdict {
        let version = next.version();
        if version <= self.version() {
            self.counts.unsafe_switches += 1;
            debug_assert!(false, "the version in force must never fall");
            return Verdict::Ignored(IgnoreReason::NotNewer);
        }
        self.active_config = Some(Arc::new(next));
        self.counts.adopted += 1;
        self.waiting.retain(|waiting, _| *waiting > version);
        Verdict::Adopted(version)
    }
}

fn missing_chunks(waiting: &Waiting) -> Vec<ContentHash> {
    let mut missing: Vec<ContentHash> = waiting
        .head
        .entries()
        .map(|entry| entry.hash)
        .filter(|hash| !waiting.chunks.contains_key(hash))
        .collect();
    missing.sort_unstable();
    missing.dedup();
    missing
}
