//! Planned shifts of traffic between zones, ordered by ticket and limited by a cap.
//!
//! A ticket is an operator's order of a shift. The cap limits the sum of the moves, forward and
//! back, within a window of time. A shift moves traffic in steps. Each step waits until the caches
//! at the destination are warm and is at most half of the traffic moved so far. Overload or errors
//! freeze the shift and revert it step by step. A ledger records all moves and enforces the cap
//! over any window.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::shift;
//!
//! let order = shift::Order { target_permille: 500, ..shift::Order::default() };
//! let shift = shift::Shift::accept(order).start(time::TimeMs::ZERO);
//! let stage = shift.advance(time::TimeMs::ZERO, shift::Signal::Healthy);
//! assert!(stage.progress().moved_permille <= 50);
//! ```

mod ledger;
mod machine;
mod order;
mod progress;
mod stage;

pub use ledger::Ledger;
pub use machine::{Accepted, Complete, Frozen, Ramping, Shift};
pub use order::{Order, Signal};
pub use progress::{Phase, Progress};
pub use stage::Stage;
