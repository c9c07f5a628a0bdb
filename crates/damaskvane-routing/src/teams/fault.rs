//! Faults of a configuration's teams.

use crate::teams::TeamName;

/// Reason why the teams of a configuration are refused. No message shows a key.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum TeamsFault {
    /// teams {0} and {1} hold the same key; give each key to one team only
    SharedKey(TeamName, TeamName),
    /// team {0} is declared twice; declare each team once
    SharedName(TeamName),
    /// the quota of team {0} is negative or no number; write a rate and a burst of at least 0
    InvalidQuota(TeamName),
}
