//! A request that leaves the queue without being served.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{admission, refusal};
//!
//! let given_up = admission::Rejected {
//!     request: "late",
//!     reason: refusal::RefusalReason::QueueTimeout,
//!     retry_after: time::SpanMs::new(100),
//! };
//! assert!(given_up.reason.means_not_run());
//! ```

use damaskvane_core::time;

use crate::refusal;

/// A request to refuse now, for instance by [`crate::exchange::Received::refuse_until`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the client waits for this answer"]
pub struct Rejected<R> {
    /// The request.
    pub request: R,
    /// Why it is given up.
    pub reason: refusal::RefusalReason,
    /// When the requests that wait now will have been served.
    pub retry_after: time::SpanMs,
}
