//! The reasons for a retry, each with its label.
//!
//! ```
//! use damaskvane_dispatch::retry;
//!
//! assert!(retry::RetryReason::BackendRefused.proves_not_run());
//! assert!(!retry::RetryReason::AnswerCut.proves_not_run());
//! ```

use core::fmt;

/// Why an attempt on a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryReason {
    /// The connection could not be opened, so nothing was sent.
    ConnectFailed,
    /// A reused connection was found closed or unresponsive before a byte was sent on the connection.
    ConnectionStale,
    /// The backend server refused the request before running it.
    BackendRefused,
    /// The connection broke after the request was sent and before a response.
    ConnectionLost,
    /// No byte was received on the connection within the time limit of one attempt.
    SilentConnection,
    /// The response ended before its declared length.
    AnswerCut,
    /// The response carries the id of another request.
    AnswerCrossed,
}

impl RetryReason {
    /// Every reason, in the order of docs/COUNTERS.md.
    pub const ALL: [Self; 7] = [
        Self::ConnectFailed,
        Self::ConnectionStale,
        Self::BackendRefused,
        Self::ConnectionLost,
        Self::SilentConnection,
        Self::AnswerCut,
        Self::AnswerCrossed,
    ];

    /// Returns the label used in counters and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::ConnectionStale => "connection_stale",
            Self::BackendRefused => "backend_refused",
            Self::ConnectionLost => "connection_lost",
            Self::SilentConnection => "silent_connection",
            Self::AnswerCut => "answer_cut",
            Self::AnswerCrossed => "answer_crossed",
        }
    }

    /// Returns whether the failure proves that the backend server did not run the request.
    #[must_use]
    pub const fn proves_not_run(self) -> bool {
        matches!(
            self,
            Self::ConnectFailed | Self::ConnectionStale | Self::BackendRefused
        )
    }
}

impl fmt::Display for RetryReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
