//! Counters of rejected heartbeats, old lists, pauses and reconnects.

/// Reason why a heartbeat was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeartbeatRefusal {
    /// The sender is not on the list, and was not recently.
    Unlisted,
    /// A later incarnation of the sender is known, or this incarnation is gone.
    OldIncarnation,
    /// A later heartbeat of the sender was received before.
    OutOfOrder,
}

/// Counters of membership since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Heartbeats from instances that are not listed.
    pub unlisted: u64,
    /// Heartbeats from incarnations that are replaced or gone.
    pub old_incarnation: u64,
    /// Heartbeats that arrived after a later one of the same sender.
    pub out_of_order: u64,
    /// Lists that were older than the one in use.
    pub old_lists: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Requested reconnects to neighbours.
    pub reconnects: u64,
}

impl MembershipCounters {
    pub(super) fn count(&mut self, refusal: HeartbeatRefusal) {
        let counter = match refusal {
            HeartbeatRefusal::Unlisted => &mut self.unlisted,
            HeartbeatRefusal::OldIncarnation => &mut self.old_incarnation,
            HeartbeatRefusal::OutOfOrder => &mut self.out_of_order,
        };
        *counter += 1;
    }
}
