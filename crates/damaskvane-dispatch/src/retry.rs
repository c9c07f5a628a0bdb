//! Retries on another backend server: why, whether and when.
//!
//! ```
//! use damaskvane_dispatch::retry;
//!
//! assert_eq!(retry::RetryReason::SilentConnection.as_str(), "silent_connection");
//! ```

mod reason;

pub use reason::RetryReason;
