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

/// The final answer to one request; `A` is the backend server's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<A> {
    /// A backend server ran the request, and this is its whole answer.
    Completed(A),
    /// No backend server ran the request.
    NotRun(refused::NotRun),
    /// The request may have run.
    Unknown(refused::Unknown),
}

impl<A> Outcome<A> {
    /// The answer *outcome unknown*; it is always safe to give.
    #[must_use]
    pub const fn unknown(reason: refusal::RefusalReason) -> Self {
        Self::Unknown(refused::Unknown::new(reason))
    }

    /// The word of the `damaskvane-outcome` header.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Completed(_) => "completed",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// The reason for which there is no backend server's answer.
    #[must_use]
    pub const fn reason(&self) -> Option<refusal::RefusalReason> {
        match self {
            Self::Completed(_) => None,
            Self::NotRun(refused) => Some(refused.reason()),
            Self::Unknown(refused) => Some(refused.reason()),
        }
    }
}
