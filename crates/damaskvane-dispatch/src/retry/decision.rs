//! What the retry policy decides.
//!
//! ```
//! use damaskvane_dispatch::{refusal, retry};
//!
//! let reason = retry::RetryStop::BudgetUsed.refusal();
//! assert_eq!(reason, refusal::RefusalReason::Overloaded);
//! ```

use damaskvane_core::time;

use crate::refusal;

/// Whether to try again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another backend server after a wait.
    Retry {
        /// How long to wait.
        after: time::SpanMs,
    },
    /// Give the request up at once.
    Stop(RetryStop),
}

/// Why there is no further try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStop {
    /// Each backend server that takes work was tried.
    NoOtherServer,
    /// The request has had its tries.
    TriesUsed,
    /// The wait and a try would not fit into the time left.
    DeadlineTooShort,
    /// The service has used up its retries.
    BudgetUsed,
}

impl RetryStop {
    /// The reason to give the request up with.
    #[must_use]
    pub const fn refusal(self) -> refusal::RefusalReason {
        match self {
            Self::NoOtherServer | Self::TriesUsed => refusal::RefusalReason::BackendRefused,
            Self::DeadlineTooShort => refusal::RefusalReason::DeadlineTooShort,
            Self::BudgetUsed => refusal::RefusalReason::Overloaded,
        }
    }
}
