//! The two final answers that carry no response of a backend server.
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

/// The answer *not run*: proof that no backend server ran the request, with the delay before a retry.
///
/// A client that receives *not run* sends its request again under another key. If the first request had
/// reached a backend server all the same, it would run twice, for instance as a double booking. The
/// constructor is private to the crate, so that only code that holds the proof creates this answer: the
/// life cycle of an exchange, or the table of keys at the key's home. An instance that forwards a request
/// decodes the answer of the home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotRun {
    reason: refusal::RefusalReason,
    retry_after: time::SpanMs,
}

/// The answer *outcome unknown*: a backend server may have run the request.
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

    /// Returns why the request was not run.
    #[must_use]
    pub const fn reason(self) -> refusal::RefusalReason {
        self.reason
    }

    /// Returns how long the client should wait before it sends the request again, in milliseconds.
    #[must_use]
    pub const fn retry_after(self) -> time::SpanMs {
        self.retry_after
    }
}

impl Unknown {
    /// Creates the answer with the reason why the outcome is unknown.
    #[must_use]
    pub const fn new(reason: refusal::RefusalReason) -> Self {
        Self { reason }
    }

    /// Returns why the outcome is unknown.
    #[must_use]
    pub const fn reason(self) -> refusal::RefusalReason {
        self.reason
    }
}
