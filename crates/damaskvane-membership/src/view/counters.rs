//! Counters of rejected heartbeats, old lists, pauses and reconnects.

/// Reason why a heartbeat was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeartbeatRefusal {
    /// The sender neither is nor was recently on the platform's list of instances.
    Unlisted,
    /// A later incarnation (start of the process) of the sender is known, or the heartbeat's
    /// incarnation is proven to have stopped or to be fenced.
    OldIncarnation,
    /// A later heartbeat of the sender was received before.
    OutOfOrder,
}

/// Counters of membership since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Heartbeats rejected because their sender is not listed.
    pub unlisted: u64,
    /// Heartbeats rejected because their sender's incarnation is replaced, stopped or fenced.
    pub old_incarnation: u64,
    /// Heartbeats rejected because a later one of the same sender arrived before.
    pub out_of_order: u64,
    /// Copies of the platform's list that were dropped because they were older than the copy in use.
    pub old_lists: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Requested new connections to neighbours, the instances with which this one exchanges heartbeats.
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
