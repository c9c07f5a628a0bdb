//! The reasons for a retry, each with its counter word.
//!
//! ```
//! use damaskvane_dispatch::retry;
//!
//! assert!(retry::RetryReason::BackendRefused.proves_not_run());
//! assert!(!retry::RetryReason::AnswerCut.proves_not_run());
//! ```

use core::fmt;

/// Why a try on one backend server is followed by another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryReason {
    /// The connection could not be opened; nothing was sent.
    ConnectFailed,
    /// A kept connection turned out closed or silent before a byte was sent on it.
    ConnectionStale,
    /// The backend server refused before running.
    BackendRefused,
    /// The connection died after the request was sent, before an answer.
    ConnectionLost,
    /// The connection stayed silent past the time for one try.
    SilentConnection,
    /// The answer ended before its length.
    AnswerCut,
    /// The answer names another request.
    AnswerCrossed,
}

impl RetryReason {
    /// Every reason, in the order of the counters' page.
    pub const ALL: [Self; 7] = [
        Self::ConnectFailed,
        Self::ConnectionStale,
        Self::BackendRefused,
        Self::ConnectionLost,
        Self::SilentConnection,
        Self::AnswerCut,
        Self::AnswerCrossed,
    ];

    /// The word of counters and logs.
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

    /// Whether the failure proves that the backend server did not run the request.
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
