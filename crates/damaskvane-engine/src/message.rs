//! What clients send and backend servers answer, as the engine and its peers carry it.
//!
//! ```
//! use damaskvane_engine::message;
//!
//! let home: message::Home = "sask-a-1/7".parse()?;
//! assert_eq!(home.to_string(), "sask-a-1/7");
//! # Ok::<(), message::ParseHomeError>(())
//! ```

mod answer;
mod header;
mod home;
mod priority;
mod request;

pub use answer::BackendAnswer;
pub use header::Header;
pub use home::{Home, ParseHomeError};
pub use priority::{ParsePriorityError, Priority};
pub use request::{Idempotency, ServiceRequest};
