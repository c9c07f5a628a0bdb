//! What clients send and backend servers answer, as the engine and its peers carry it.
//!
//! ```
//! use damaskvane_engine::message;
//!
//! assert_eq!("high".parse(), Ok(message::Priority::High));
//! ```

mod answer;
mod header;
mod priority;
mod request;

pub use answer::BackendAnswer;
pub use header::Header;
pub use priority::{ParsePriorityError, Priority};
pub use request::{Idempotency, ServiceRequest};
