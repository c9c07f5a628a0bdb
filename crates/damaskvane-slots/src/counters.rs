//! What is counted of slots.
//!
//! ```
//! use damaskvane_slots::counters;
//!
//! assert_eq!(counters::SlotCounters::default().granted, 0);
//! ```

use std::collections::BTreeMap;

use crate::message::RefusalReason;

/// What is counted of slots.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotCounters {
    /// Grants lent as an owner.
    pub granted: u64,
    /// Asks that had to wait for a free slot.
    pub queued: u64,
    /// Asks refused as an owner, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Times that others were asked to give slots back.
    pub recalled: u64,
    /// Grants borrowed.
    pub acquired: u64,
    /// Grants that came when another was the owner already.
    pub late_grants: u64,
    /// Permits whose lease lapsed before the request was sent.
    pub expired: u64,
    /// Requests sent after their lease had lapsed, because the process was paused.
    pub sent_late: u64,
    /// Claims that were completed by a ledger.
    pub handed_over: u64,
    /// Claims that were completed by waiting.
    pub waited_out: u64,
    /// Claims that were declined.
    pub declined: u64,
    /// Messages from, or for, a start of an instance that is gone.
    pub old_messages: u64,
}
