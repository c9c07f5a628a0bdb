//! The proof that this instance's configuration is the newest one, shared by the tasks that obtain, forward and need it.

use std::cell::RefCell;

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::teams::{ConfigEvidence, EvidenceTracker};
use tokio::sync::Notify;

/// Shared state of the proofs, and the notification of a newer one.
#[derive(Debug, Default)]
pub struct Evidence {
    tracker: RefCell<EvidenceTracker>,
    newer: Notify,
}

impl Evidence {
    /// Adds a proof that this instance obtained or received.
    pub fn add(&self, evidence: ConfigEvidence) {
        if self.tracker.borrow_mut().add(evidence) {
            self.newer.notify_waiters();
        }
    }

    /// Records that all changes of the configuration up to a revision are applied.
    pub fn record_applied(&self, revision: u64) {
        let before = self.newest();
        self.tracker.borrow_mut().record_applied(revision);
        if self.newest() != before {
            self.newer.notify_waiters();
        }
    }

    /// Returns the revision up to which the configuration is applied.
    pub fn applied(&self) -> u64 {
        self.tracker.borrow().applied()
    }

    /// Returns the newest proof that holds.
    pub fn newest(&self) -> Option<ConfigEvidence> {
        self.tracker.borrow().newest()
    }

    /// Returns the time since the newest proof, or `None` if there is none.
    pub fn age(&self, now: TimeMs) -> Option<SpanMs> {
        self.tracker.borrow().age(now)
    }

    /// Waits for a newer proof.
    pub async fn until_newer(&self) {
        self.newer.notified().await;
    }
}
