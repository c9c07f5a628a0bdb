//! What an operator watches of a shift.
//!
//! ```
//! use damaskvane_steering::shift;
//!
//! assert_eq!(shift::Phase::Frozen.to_string(), "frozen");
//! ```

use core::fmt;

/// The phase of a shift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepted, not started.
    Accepted,
    /// Moves forward.
    Ramping,
    /// Holds or goes back.
    Frozen,
    /// All is moved.
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

/// How far a shift is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The phase.
    pub phase: Phase,
    /// The part of the clients that is moved, in thousandths.
    pub moved_permille: u32,
    /// The part that shall be moved, in thousandths.
    pub target_permille: u32,
    /// Moves cut because they broke the cap; always zero unless the code is wrong.
    pub limit_violations: u64,
}
