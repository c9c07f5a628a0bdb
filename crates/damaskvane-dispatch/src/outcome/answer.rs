//! The final answer to one request.
//!
//! ```
//! use damaskvane_dispatch::outcome;
//!
//! assert_eq!(outcome::Outcome::Completed("booked").as_str(), "completed");
//! ```

use serde::{Deserialize, Serialize};

use crate::outcome::refused;
use crate::refusal;

/// The final answer to one request; `A` is the type of the backend server's complete response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<A> {
    /// A backend server ran the request and sent this complete response.
    Completed(A),
    /// No backend server ran the request, so the client may send it again under another idempotency key.
    NotRun(refused::NotRun),
    /// A backend server may have run the request.
    Unknown(refused::Unknown),
}

impl<A> Outcome<A> {
    /// Creates the answer *outcome unknown*, which is safe to give at any time.
    #[must_use]
    pub const fn unknown(reason: refusal::RefusalReason) -> Self {
        Self::Unknown(refused::Unknown::new(reason))
    }

    /// Returns the value of the `damaskvane-outcome` header.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Completed(_) => "completed",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns why there is no response of a backend server; `None` for a completed request.
    #[must_use]
    pub const fn reason(&self) -> Option<refusal::RefusalReason> {
        match self {
            Self::Completed(_) => None,
            Self::NotRun(refused) => Some(refused.reason()),
            Self::Unknown(refused) => Some(refused.reason()),
        }
    }
}
