//! How a server failed towards this instance, which need not be the server's fault.

use damaskvane_core::time::TimeMs;

/// How a server could not be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The connection was refused.
    Refused,
    /// The connection was not established in time.
    NoAnswer,
    /// Requests on open connections got no answer, while no other server answered either.
    Silent,
}

impl ConnectFailure {
    /// Returns the label for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::NoAnswer => "no_answer",
            Self::Silent => "silent",
        }
    }
}

/// The failures of a server since this instance last reached any.
#[derive(Debug, Clone, Copy)]
pub(super) struct Failure {
    pub(super) first_at: TimeMs,
    pub(super) last_at: TimeMs,
    pub(super) kind: ConnectFailure,
}
