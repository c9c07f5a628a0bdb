//! Retries on another backend server: their reasons, their budget and their backoff.
//!
//! Only the instance that sends a request to a backend server retries it. An instance that forwards a
//! request makes no retries ([`crate::exchange::Forwarded`]).
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
