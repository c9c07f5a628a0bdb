//! Proof that the configuration of this instance was the newest one at some moment.
//!
//! An instance may send a request with a key only as long as it knows that the key was valid a short time ago. The
//! proof is a reading of the store which may not be stale, and which showed no change after the configuration's
//! revision. It holds for the moment at which the reading began, and gets older wherever it goes: an instance that
//! receives it from another one counts from the moment at which it asked. No clock is compared with another.

use std::collections::VecDeque;

use damaskvane_core::time::{SpanMs, TimeMs};

/// Largest number of proofs that wait until their configuration is applied.
const MAX_WAITING: usize = 8;

/// Proof that no configuration was newer than a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigEvidence {
    /// Revision of the store up to which configurations must be applied for the proof to hold.
    pub revision: u64,
    /// Moment at which nothing was newer, on this instance's clock that also runs while the machine is suspended.
    pub current_at: TimeMs,
}

/// The newest proof that holds for the configuration that this instance has applied.
#[derive(Debug, Clone, Default)]
pub struct EvidenceTracker {
    applied: u64,
    newest: Option<ConfigEvidence>,
    /// Proofs for configurations that were received and are not applied yet.
    waiting: VecDeque<ConfigEvidence>,
}

impl EvidenceTracker {
    /// Records that all changes of the configuration up to a revision are applied.
    pub fn record_applied(&mut self, revision: u64) {
        self.applied = self.applied.max(revision);
        let waiting = core::mem::take(&mut self.waiting);
        for evidence in waiting {
            self.add(evidence);
        }
    }

    /// Adds a proof. Returns whether the newest proof that holds has changed.
    pub fn add(&mut self, evidence: ConfigEvidence) -> bool {
        if evidence.revision > self.applied {
            if self.waiting.len() == MAX_WAITING {
                self.waiting.pop_front();
            }
            self.waiting.push_back(evidence);
            return false;
        }
        let is_newer = self
            .newest
            .is_none_or(|newest| newest.current_at < evidence.current_at);
        if is_newer {
            self.newest = Some(evidence);
        }
        is_newer
    }

    /// Returns the revision up to which the configuration is applied.
    #[must_use]
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the newest proof that holds.
    #[must_use]
    pub const fn newest(&self) -> Option<ConfigEvidence> {
        self.newest
    }

    /// Returns the time since the newest proof, or `None` if there is none.
    #[must_use]
    pub fn age(&self, now: TimeMs) -> Option<SpanMs> {
        self.newest.map(|newest| now.since(newest.current_at))
    }
}
