//! The events that the engine handles and the actions that it returns.
//!
//! The driver, which does the engine's I/O, passes in the events and carries out the actions.
//!
//! ```
//! use damaskvane_engine::event;
//!
//! assert_eq!(event::RequestNumber::new(7).get(), 7);
//! ```

mod action;
mod exchange_end;
mod input;
mod number;

pub use action::{Action, Exchange};
pub use exchange_end::ExchangeEnd;
pub use input::Event;
pub use number::{ExchangeNumber, RequestNumber};
