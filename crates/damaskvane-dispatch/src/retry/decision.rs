//! The decisions of the retry policy.
//!
//! ```
//! use damaskvane_dispatch::{refusal, retry};
//!
//! let reason = retry::RetryStop::BudgetUsed.refusal_reason();
//! assert_eq!(reason, refusal::RefusalReason::Overloaded);
//! ```

use damaskvane_core::time;

use crate::refusal;

/// Whether to retry a request after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another backend server after a delay.
    Retry {
        /// The delay before the next attempt, in milliseconds.
        after: time::SpanMs,
    },
    /// Refuse the request without a further attempt.
    Stop(RetryStop),
}

/// Why there is no further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStop {
    /// Each backend server that accepts requests was tried.
    NoOtherServer,
    /// The request has been sent the maximum number of times.
    TriesUsed,
    /// The delay and a further attempt don't fit into the time until the deadline.
    DeadlineTooShort,
    /// The retry budget of the service is used up.
    BudgetUsed,
}

impl RetryStop {
    /// Returns the reason to refuse the request with.
    #[must_use]
    pub const fn refusal_reason(self) -> refusal::RefusalReason {
        match self {
            Self::NoOtherServer | Self::TriesUsed => refusal::RefusalReason::BackendRefused,
            Self::DeadlineTooShort => refusal::RefusalReason::DeadlineTooShort,
            Self::BudgetUsed => refusal::RefusalReason::Overloaded,
        }
    }
}
