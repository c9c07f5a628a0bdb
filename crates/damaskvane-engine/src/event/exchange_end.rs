//! How an exchange (one request sent to a backend server, with its response) ended.
//!
//! ```
//! use damaskvane_engine::event;
//!
//! assert!(event::ExchangeEnd::Refused.proves_not_run());
//! assert!(!event::ExchangeEnd::Timeout.proves_not_run());
//! ```

use crate::message;

/// The way in which an exchange with a backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The backend server sent a complete response to this request.
    Answered(message::BackendResponse),
    /// The backend server refused the request before running any of it.
    Refused,
    /// The connection could not be opened, or the lease of the slot (the right to run one request on the
    /// server) had ended, so that nothing was sent.
    NotSent,
    /// The connection was lost at a time when the backend server may have read the request.
    Lost,
    /// No response arrived within the time limit of the exchange.
    Timeout,
    /// The response ended before its declared length, was malformed, or was longer than allowed.
    TruncatedResponse,
    /// The response does not carry exactly this request's id.
    MismatchedResponse,
}

impl ExchangeEnd {
    /// Returns whether the backend server certainly did not run the request.
    #[must_use]
    pub const fn proves_not_run(&self) -> bool {
        matches!(self, Self::Refused | Self::NotSent)
    }
}
