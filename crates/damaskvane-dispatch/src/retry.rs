//! Retries on another backend server: why, whether and when.
//!
//! Retries happen at one layer only, at the instance that sends to the backend server: a forwarding
//! instance makes none ([`crate::exchange::Forwarded`]).
//!
//! ```
//! use damaskvane_dispatch::retry;
//!
//! assert_eq!(retry::RetryReason::SilentConnection.as_str(), "silent_connection");
//! ```

mod budget;
mod decision;
mod policy;
mod reason;
mod settings;

pub use budget::RetryBudget;
pub use decision::{RetryDecision, RetryStop};
pub use policy::RetryPolicy;
pub use reason::RetryReason;
pub use settings::RetrySettings;
