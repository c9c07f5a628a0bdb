//! What a try on a backend server led to.
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

/// What a try on a backend server led to.
#[derive(Debug)]
#[must_use]
pub enum Progress<A> {
    /// The final answer.
    Answered(answered::Answered<A>),
    /// A further try is safe; whether there is one, [`crate::retry::RetryPolicy`] decides.
    Retry {
        /// Why the try failed.
        reason: retry::RetryReason,
        /// The request, ready to be sent again or refused.
        admitted: admitted::Admitted,
    },
}
