//! How an exchange with a backend server ended.
//!
//! ```
//! use damaskvane_engine::event;
//!
//! assert!(event::ExchangeEnd::Refused.proves_not_run());
//! assert!(!event::ExchangeEnd::Timeout.proves_not_run());
//! ```

use crate::message;

/// How an exchange ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The backend server's whole answer to this very request.
    Answered(message::BackendResponse),
    /// The backend server refused before running.
    Refused,
    /// The connection could not be opened: nothing was sent.
    NotSent,
    /// The connection was lost after the request may have been read.
    Lost,
    /// Nothing was heard until the time for this exchange had passed.
    Timeout,
    /// The answer ended before its length, or was longer than allowed.
    TruncatedResponse,
    /// The answer names another request.
    MismatchedResponse,
}

impl ExchangeEnd {
    /// Whether it is certain that the backend server did not run the request.
    #[must_use]
    pub const fn proves_not_run(&self) -> bool {
        matches!(self, Self::Refused | Self::NotSent)
    }
}
