//! How a connection fails, and what follows.
//!
//! ```
//! use damaskvane_dispatch::connection;
//!
//! let refused = connection::Failure::Refused;
//! assert_eq!(refused.action(), connection::Action::CountAsServerFailure);
//! ```

/// How a connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It could not be opened.
    Refused,
    /// No byte within the time for one try.
    Timeout {
        /// Whether it was opened for this exchange.
        on_new_connection: bool,
    },
    /// Closed by the other end before the answer was whole.
    Closed {
        /// Whether it was opened for this exchange.
        on_new_connection: bool,
    },
    /// The answer named another request.
    MismatchedResponse,
    /// The client went away or its deadline passed first; this instance abandoned the exchange.
    Abandoned,
    /// The backend server refused before running: it sheds load and is healthy.
    Shed,
}

/// What follows from a failure. Except after [`Failure::Shed`], the connection is never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Action {
    /// Nothing is known about the server; open a fresh connection before judging.
    RetryOnNewConnection,
    /// The failure counts against the server.
    CountAsServerFailure,
    /// It says nothing about the server.
    Ignore,
}

impl Failure {
    /// What follows from the failure.
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

    /// Whether the connection may carry another exchange.
    #[must_use]
    pub const fn is_connection_reusable(self) -> bool {
        matches!(self, Self::Shed)
    }
}
