//! A request that the admission queue rejects.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{admission, refusal};
//!
//! let rejected = admission::Rejected {
//!     request: "late",
//!     reason: refusal::RefusalReason::QueueTimeout,
//!     retry_after: time::SpanMs::new(100),
//! };
//! assert!(rejected.reason.means_not_run());
//! ```

use damaskvane_core::time;

use crate::refusal;

/// A request that left the queue unserved and is to be refused at once, for instance by
/// [`crate::exchange::Received::refuse_with_retry_after`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the client waits for the response"]
pub struct Rejected<R> {
    /// The request, as it was queued.
    pub request: R,
    /// The reason for the rejection.
    pub reason: refusal::RefusalReason,
    /// The delay before the client should retry: the estimated time until the requests queued now have left the
    /// queue, within the bounds of the settings.
    pub retry_after: time::SpanMs,
}
