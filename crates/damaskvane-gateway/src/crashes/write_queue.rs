//! Quarantine records to be written to the store, each with the time at which it is due.
//!
//! ```
//! use damaskvane_core::time::TimeMs;
//! use damaskvane_dispatch::fingerprint::Fingerprint;
//! use damaskvane_gateway::crashes::WriteQueue;
//!
//! let (peers, own) = (Fingerprint::of_fields(["a"], b""), Fingerprint::of_fields(["b"], b""));
//! let mut queue = WriteQueue::default();
//! queue.push(TimeMs::new(1_000), peers);
//! queue.push(TimeMs::new(10), own);
//! assert_eq!(queue.next_due(), Some(TimeMs::new(10)));
//! assert_eq!(queue.take_due(TimeMs::new(20)), Some(own));
//! assert_eq!(queue.take_due(TimeMs::new(20)), None);
//! ```

use std::collections::BTreeSet;

use damaskvane_core::time::TimeMs;
use damaskvane_dispatch::fingerprint::Fingerprint;

/// The records to be written, in the order in which they are due.
///
/// The delay of one record holds up no other one. If records were written one after the other with their delays, the
/// record of this instance's own incident would wait behind those that other instances have written long ago, and an
/// instance that is started meanwhile would let the request run.
#[derive(Debug, Default)]
pub struct WriteQueue {
    due: BTreeSet<(TimeMs, Fingerprint)>,
}

impl WriteQueue {
    /// Adds a record that is due at `at`.
    pub fn push(&mut self, at: TimeMs, fingerprint: Fingerprint) {
        self.due.insert((at, fingerprint));
    }

    /// Returns when the next record is due, or `None` if the queue is empty.
    #[must_use]
    pub fn next_due(&self) -> Option<TimeMs> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next record if it is due.
    pub fn take_due(&mut self, now: TimeMs) -> Option<Fingerprint> {
        let (at, fingerprint) = *self.due.first()?;
        if at > now {
            return None;
        }
        self.due.pop_first();
        Some(fingerprint)
    }
}
