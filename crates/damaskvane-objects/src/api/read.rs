//! The error type of reads, listings and watches.
//!
//! ```
//! use damaskvane_objects::api;
//!
//! assert!(api::ReadError::Unauthorized.to_string().contains("token"));
//! ```

use damaskvane_core::time;

/// The reason why a read, a listing or a watch returned no data.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ReadError {
    /// the platform can't be reached ({0}); call again after a pause
    Unavailable(String),
    /// the platform limits the call rate; call again after {0}
    RateLimited(time::SpanMs),
    /// this program has used up its rate budget; call again after {0} or raise calls_per_second
    BudgetExhausted(time::SpanMs),
    /// the platform refuses the token; check the token file and its holder
    Unauthorized,
    /// the platform's response is invalid ({0}); check the address and the versions
    Protocol(String),
}

impl ReadError {
    /// Returns the label under which errors of this kind are counted.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Unavailable(_) => "unavailable",
            Self::RateLimited(_) => "rate-limited",
            Self::BudgetExhausted(_) => "budget-spent",
            Self::Unauthorized => "unauthorized",
            Self::Protocol(_) => "protocol",
        }
    }
}
