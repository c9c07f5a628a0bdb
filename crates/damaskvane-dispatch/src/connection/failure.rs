//! Kinds of connection failures and the action that follows each.
//!
//! ```
//! use damaskvane_dispatch::connection;
//!
//! let refused = connection::Failure::Refused;
//! assert_eq!(refused.action(), connection::Action::CountAsServerFailure);
//! ```

/// A failure of a connection to a backend server, as seen by an entry instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be opened.
    Refused,
    /// No byte arrived within the time for one attempt.
    Timeout {
        /// Whether the connection was opened for this exchange.
        on_new_connection: bool,
    },
    /// The backend server closed the connection before the response was complete.
    Closed {
        /// Whether the connection was opened for this exchange.
        on_new_connection: bool,
    },
    /// The response carries the id of another request.
    MismatchedResponse,
    /// This instance abandoned the exchange: the client disconnected or the request's deadline passed first.
    Abandoned,
    /// The backend server rejected the request before running it, to shed load; the server is healthy.
    Shed,
}

/// The action after a failure. Except after [`Failure::Shed`], the connection is never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Action {
    /// Only the connection may be at fault; retry on a new connection before counting a failure of the server.
    RetryOnNewConnection,
    /// The failure counts against the server.
    CountAsServerFailure,
    /// The failure does not affect the health of the server.
    Ignore,
}

impl Failure {
    /// Returns the action that follows the failure.
    pub const fn action(self) -> Action {
        match self {
            Self::Timeout {
                on_new_connection: false,
            }
            | Self::Closed {
                on_new_connection: false,
            }
            | Self::MismatchedResponse => Action::RetryOnNewConnection,
            Self::Refused
            | Self::Timeout {
                on_new_connection: true,
            }
            | Self::Closed {
                on_new_connection: true,
            } => Action::CountAsServerFailure,
            Self::Abandoned | Self::Shed => Action::Ignore,
        }
    }

    /// Returns whether the connection may carry another exchange after the failure.
    #[must_use]
    pub const fn is_connection_reusable(self) -> bool {
        matches!(self, Self::Shed)
    }
}
