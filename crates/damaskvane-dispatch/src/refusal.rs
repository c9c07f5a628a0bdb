//! The reasons why a request is answered without a response of a backend server.
//!
//! ```
//! use damaskvane_dispatch::refusal;
//!
//! let reason = refusal::RefusalReason::QueueFull;
//! assert_eq!(reason.as_str(), "queue_full");
//! assert!(reason.means_not_run());
//! assert!(!refusal::RefusalReason::HomeRestarted.means_not_run());
//! ```

mod reason;

pub use reason::{ParseReasonError, RefusalReason};
