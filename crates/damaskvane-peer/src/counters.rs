//! Messages and bytes by kind, both ways, and drops by reason.
//!
//! ```
//! use damaskvane_peer::counters;
//!
//! let counters = counters::PeerCounters::default();
//! counters.count_drop(counters::DropReason::Unlisted);
//! assert_eq!(counters.dropped(counters::DropReason::Unlisted), 1);
//! assert!(counters.snapshot().sent.is_empty());
//! ```

use core::fmt;
use core::sync::atomic::{AtomicU64, Ordering};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// Why a message was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The sender is not on the list of instances.
    Unlisted,
    /// The sender sent more than its rate.
    RateExceeded,
    /// The envelope could not be decoded.
    Malformed,
    /// The envelope is sound, its message is not known: most likely a newer version of the program.
    UnknownMessage,
    /// The program did not take received messages fast enough.
    ReceiverFull,
    /// The queue to a peer was full.
    QueueFull,
    /// Messages waited too long for a connection.
    NotConnected,
    /// There were too many connections.
    ConnectionLimit,
    /// The message was larger than allowed.
    TooLarge,
}

impl DropReason {
    /// Every reason, in the order of declaration.
    pub const ALL: [Self; 9] = [
        Self::Unlisted,
        Self::RateExceeded,
        Self::Malformed,
        Self::UnknownMessage,
        Self::ReceiverFull,
        Self::QueueFull,
        Self::NotConnected,
        Self::ConnectionLimit,
        Self::TooLarge,
    ];

    /// The word for metrics and status.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unlisted => "unlisted",
            Self::RateExceeded => "rate-exceeded",
            Self::Malformed => "malformed",
            Self::UnknownMessage => "unknown-message",
            Self::ReceiverFull => "receiver-full",
            Self::QueueFull => "queue-full",
            Self::NotConnected => "not-connected",
            Self::ConnectionLimit => "connection-limit",
            Self::TooLarge => "too-large",
        }
    }
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How much of one kind went one way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KindCount {
    /// Messages.
    pub messages: u64,
    /// Encoded bytes, envelopes included, TCP and IP headers not.
    pub bytes: u64,
}

/// All counts at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CounterSnapshot {
    /// What was handed to connections, by kind.
    pub sent: BTreeMap<&'static str, KindCount>,
    /// What was handed to the program, by kind.
    pub received: BTreeMap<&'static str, KindCount>,
    /// What was dropped, by reason; reasons that never occurred are left out.
    pub dropped: BTreeMap<&'static str, u64>,
}

type KindCounts = Mutex<BTreeMap<&'static str, KindCount>>;

/// The counters of one transport.
#[derive(Debug, Default)]
pub struct PeerCounters {
    sent: KindCounts,
    received: KindCounts,
    dropped: [AtomicU64; DropReason::ALL.len()],
}

fn add(counts: &KindCounts, kind: &'static str, bytes: usize) {
    let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
    let count = counts.entry(kind).or_default();
    count.messages += 1;
    count.bytes += bytes as u64;
}

fn copy(counts: &KindCounts) -> BTreeMap<&'static str, KindCount> {
    counts
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone()
}

impl PeerCounters {
    /// Counts one dropped message.
    pub fn count_drop(&self, reason: DropReason) {
        self.count_drops(reason, 1);
    }

    pub(crate) fn count_drops(&self, reason: DropReason, messages: u64) {
        self.dropped[reason as usize].fetch_add(messages, Ordering::Relaxed);
    }

    /// How many messages were dropped for a reason.
    #[must_use]
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn count_sent(&self, kind: &'static str, bytes: usize) {
        add(&self.sent, kind, bytes);
    }

    pub(crate) fn count_received(&self, kind: &'static str, bytes: usize) {
        add(&self.received, kind, bytes);
    }

    /// A copy of all counts.
    #[must_use]
    pub fn snapshot(&self) -> CounterSnapshot {
        CounterSnapshot {
            sent: copy(&self.sent),
            received: copy(&self.received),
            dropped: DropReason::ALL
                .into_iter()
                .map(|reason| (reason.as_str(), self.dropped(reason)))
                .filter(|(_, count)| *count > 0)
                .collect(),
        }
    }
}
