//! A started shift in whichever phase it is.
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

/// A started shift in whichever phase it is.
#[derive(Debug, Clone)]
pub enum Stage {
    /// It moves forward.
    Ramping(Shift<Ramping>),
    /// It holds or goes back.
    Frozen(Shift<Frozen>),
    /// All is moved.
    Complete(Shift<Complete>),
}

impl Stage {
    /// Goes on with what the destination shows now.
    #[must_use]
    pub fn advance(self, now: time::TimeMs, signal: Signal) -> Self {
        match self {
            Self::Ramping(shift) => shift.advance(now, signal),
            Self::Frozen(shift) => shift.advance(now, signal),
            Self::Complete(shift) => shift.advance(now, signal),
        }
    }

    /// How far the shift is.
    #[must_use]
    pub fn progress(&self) -> Progress {
        match self {
            Self::Ramping(shift) => shift.progress(),
            Self::Frozen(shift) => shift.progress(),
            Self::Complete(shift) => shift.progress(),
        }
    }
}
