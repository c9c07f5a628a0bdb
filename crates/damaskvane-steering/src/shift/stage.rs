//! A started shift in any phase.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::shift;
//!
//! let shift = shift::Shift::accept(shift::Order::default()).start(time::TimeMs::ZERO);
//! let stage = shift.advance(time::TimeMs::ZERO, shift::Signal::Overload);
//! assert_eq!(stage.progress().phase, shift::Phase::Frozen);
//! ```

use damaskvane_core::time;

use crate::shift::machine::{Complete, Frozen, Ramping, Shift};
use crate::shift::order::Signal;
use crate::shift::progress::Progress;

/// A started shift in any phase.
#[derive(Debug, Clone)]
pub enum Stage {
    /// The shift moves forward.
    Ramping(Shift<Ramping>),
    /// The shift pauses or reverts.
    Frozen(Shift<Frozen>),
    /// The shift has reached its target.
    Complete(Shift<Complete>),
}

impl Stage {
    /// Advances the shift according to the destination's health at `now`.
    #[must_use]
    pub fn advance(self, now: time::TimeMs, signal: Signal) -> Self {
        match self {
            Self::Ramping(shift) => shift.advance(now, signal),
            Self::Frozen(shift) => shift.advance(now, signal),
            Self::Complete(shift) => shift.advance(now, signal),
        }
    }

    /// Returns the progress of the shift.
    #[must_use]
    pub fn progress(&self) -> Progress {
        match self {
            Self::Ramping(shift) => shift.progress(),
            Self::Frozen(shift) => shift.progress(),
            Self::Complete(shift) => shift.progress(),
        }
    }
}
