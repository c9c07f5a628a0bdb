//! Counters of sent and received messages and bytes by kind, and of drops by reason.
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

/// The reason why a message was dropped, or a connection was closed for the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The sender of a received message is not on the list of allowed senders.
    Unlisted,
    /// The sender exceeded the maximum rate of messages.
    RateExceeded,
    /// The envelope of a received message could not be decoded.
    Malformed,
    /// The envelope was decoded but its message was not; most likely the sender is a newer version of
    /// the program.
    UnknownMessage,
    /// The queue of received messages was full, since the program did not process them fast enough.
    ReceiverFull,
    /// The send queue to a peer was full.
    QueueFull,
    /// No connection to the peer came up in time, or it was closed with messages in its queue.
    NotConnected,
    /// The limit of outgoing or incoming connections was reached.
    ConnectionLimit,
    /// The message to send was larger than the limit.
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

    /// Returns the label in metrics and in the status.
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

/// The messages of one kind that were sent, or that were received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KindCount {
    /// The number of messages.
    pub messages: u64,
    /// The encoded bytes, with envelopes, without TCP and IP headers.
    pub bytes: u64,
}

/// A copy of all counters.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CounterSnapshot {
    /// The messages that were queued on connections, by kind.
    pub sent: BTreeMap<&'static str, KindCount>,
    /// The received messages that were queued for the program, by kind.
    pub received: BTreeMap<&'static str, KindCount>,
    /// The drops by reason; reasons without drops are left out.
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

    /// Returns the number of messages dropped for a reason.
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

    /// Returns a copy of all counters.
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
