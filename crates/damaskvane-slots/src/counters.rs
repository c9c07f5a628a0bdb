//! Counters of grants, refusals and ownership changes.
//!
//! A slot is the right to run one request on a backend server. The server's owner, one of the zone's
//! instances, grants slots to holders, each grant for a limited time, the lease.
//!
//! ```
//! use damaskvane_slots::counters;
//!
//! assert_eq!(counters::SlotCounters::default().granted, 0);
//! ```

use std::collections::BTreeMap;

use crate::exchange::BlockedBy;
use crate::message::RefusalReason;

/// Counters of one instance since its start, over all backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotCounters {
    /// Grants made as an owner.
    pub granted: u64,
    /// How often this instance as an owner recalled slots because acquire requests waited for a free slot.
    pub recall_rounds: u64,
    /// Acquire and renewal requests of holders that this instance refused, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Recall messages sent to holders.
    pub recalled: u64,
    /// Grants that this instance received before their lease expired.
    pub acquired: u64,
    /// Grants, refusals, renewals and recalls dropped because their sender isn't the owner for this instance.
    pub dropped_owner_messages: u64,
    /// Permits (slots reserved for a request) whose lease expired before the request was sent.
    pub expired: u64,
    /// Requests sent after their lease had expired, because the process was paused.
    pub sent_late: u64,
    /// Claims of this instance to own a server that were completed by the previous owner's ledger (list of
    /// grants).
    pub handed_over: u64,
    /// Claims of this instance completed by the consents of all instances, without a ledger.
    pub waited_out: u64,
    /// Decline messages received for claims of this instance.
    pub declined: u64,
    /// Messages dropped because their sender is not in the roster (the known instances of the zone), is
    /// proven to have stopped or lost its rights, or is an earlier incarnation (start of its process), or
    /// because they are for another incarnation of this instance.
    pub old_messages: u64,
    /// Time in milliseconds, summed over the backend servers, during which this instance was to grant slots
    /// as the assigned instance, the claimant or the owner, and granted none, by reason.
    ///
    /// The time between two ticks counts in full for the reason that holds at the later one.
    pub blocked_ms: BTreeMap<BlockedBy, u64>,
}
