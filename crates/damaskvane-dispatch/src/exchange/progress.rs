//! The result of an attempt on a backend server.
//!
//! ```
//! use damaskvane_dispatch::exchange;
//!
//! fn is_final<A>(progress: &exchange::Progress<A>) -> bool {
//!     matches!(progress, exchange::Progress::Answered(_))
//! }
//! ```

use crate::exchange::{admitted, answered};
use crate::retry;

/// The result of an attempt on a backend server.
#[derive(Debug)]
#[must_use]
pub enum Progress<A> {
    /// The final answer.
    Answered(answered::Answered<A>),
    /// The attempt failed and a retry is safe; [`crate::retry::RetryPolicy`] decides whether to make one.
    Retry {
        /// Why the attempt failed.
        reason: retry::RetryReason,
        /// The request, ready to be sent again or refused.
        admitted: admitted::Admitted,
    },
}
