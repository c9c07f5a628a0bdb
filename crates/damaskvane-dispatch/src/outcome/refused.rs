//! The two answers without a backend server's answer.
//!
//! ```
//! use damaskvane_dispatch::{outcome, refusal};
//!
//! let unknown = outcome::Unknown::new(refusal::RefusalReason::OutcomeLost);
//! assert_eq!(unknown.reason().status(), 502);
//! ```

use damaskvane_core::time;
use serde::{Deserialize, Serialize};

use crate::refusal;

/// Proof that no backend server ran the request, with when to come back.
///
/// A client that reads *not run* makes the booking anew under another key. Were the answer given
/// after bytes had reached a backend server, the booking would stand twice. The constructor is
/// private to the crate, so that only a life cycle that holds the proof (of an exchange
/// or of a key at its home) makes one; an instance that passes on the answer of the key's home decodes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    reason: refusal::RefusalReason,
    retry_after: time::SpanMs,
}

/// The answer *outcome unknown*: the request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unknown {
    reason: refusal::RefusalReason,
}

impl NotRun {
    pub(crate) const fn new(reason: refusal::RefusalReason, retry_after: time::SpanMs) -> Self {
        Self {
            reason,
            retry_after,
        }
    }

    /// Why the request was not run.
    #[must_use]
    pub const fn reason(self) -> refusal::RefusalReason {
        self.reason
    }

    /// When to come back.
    #[must_use]
    pub const fn retry_after(self) -> time::SpanMs {
        self.retry_after
    }
}

impl Unknown {
    /// The outcome is unknown for a reason.
    #[must_use]
    pub const fn new(reason: refusal::RefusalReason) -> Self {
        Self { reason }
    }

    /// Why the outcome is unknown.
    #[must_use]
    pub const fn reason(self) -> refusal::RefusalReason {
        self.reason
    }
}
