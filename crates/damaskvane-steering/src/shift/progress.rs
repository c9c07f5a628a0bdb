//! Progress of a shift, as operators see it.
//!
//! A shift is a move of a share of clients from one zone to another, ordered by an operator.
//!
//! ```
//! use damaskvane_steering::shift;
//!
//! assert_eq!(shift::Phase::Frozen.to_string(), "frozen");
//! ```

use core::fmt;

/// Phase of a shift, from the acceptance of the operator's order until the ordered share is moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepted and not started.
    Accepted,
    /// Moves forward step by step.
    Ramping,
    /// Pauses or reverts.
    Frozen,
    /// The target is reached.
    Complete,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Accepted => "accepted",
            Self::Ramping => "ramping",
            Self::Frozen => "frozen",
            Self::Complete => "complete",
        })
    }
}

/// Progress of a shift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Current phase.
    pub phase: Phase,
    /// Part of the clients that is moved, in thousandths.
    pub moved_permille: u32,
    /// Part of the clients that is moved when the shift is complete, in thousandths.
    pub target_permille: u32,
    /// Number of moves that were reduced because they exceeded the cap, the limit on the moves
    /// within a window. A value above zero indicates a programming error.
    pub limit_violations: u64,
}
