//! Counters of refusals.

/// Why a heartbeat was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeartbeatRefusal {
    /// The sender neither is nor lately was on the list.
    Unlisted,
    /// A later start of the sender is known, or this one is gone.
    OldIncarnation,
    /// It was overtaken by a later one.
    Overtaken,
}

/// What membership has counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Heartbeats from instances that are not listed.
    pub unlisted: u64,
    /// Heartbeats of starts that have been replaced.
    pub old_incarnation: u64,
    /// Heartbeats that arrived after a later one.
    pub out_of_order: u64,
    /// Lists that were older than the one in use.
    pub old_lists: u64,
    /// Pauses of this process.
    pub pauses: u64,
    /// Connections that were asked to be made anew.
    pub reconnects: u64,
}

impl MembershipCounters {
    pub(super) fn count(&mut self, refusal: HeartbeatRefusal) {
        let counter = match refusal {
            HeartbeatRefusal::Unlisted => &mut self.unlisted,
            HeartbeatRefusal::OldIncarnation => &mut self.old_incarnation,
            HeartbeatRefusal::Overtaken => &mut self.out_of_order,
        };
        *counter += 1;
    }
}
