//! The events that the engine handles and the actions that it returns.
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
