//! Which failures of a connection count against the backend server behind it.
//!
//! A connection can go silent for good because something between the two ends has lost track of it,
//! while new ones work. Judged by it, a healthy server would be taken out, and one would see its share
//! move to the others for no reason. A failure on a kept connection therefore asks for a fresh one
//! first; only failures of fresh connections count, and one success clears them.
//!
//! ```
//! use damaskvane_dispatch::connection;
//!
//! let mut health = connection::ServerHealth::default();
//! let silent = connection::Failure::Timeout { on_new_connection: false };
//! assert_eq!(health.record_failure(silent), connection::Action::RetryOnNewConnection);
//! let silent = connection::Failure::Timeout { on_new_connection: true };
//! assert_eq!(health.record_failure(silent), connection::Action::CountAsServerFailure);
//! ```

mod failure;
mod health;

pub use failure::{Action, Failure};
pub use health::ServerHealth;
