//! Moves of traffic by ticket, under a cap.
//!
//! A shift ramps: each step waits for the caches at the other end to warm up and is at most half of
//! what is there already. Overload or errors freeze it and take it back a step at a time. All moves,
//! forward and back, are entered in a ledger that asserts the cap over any window.
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
