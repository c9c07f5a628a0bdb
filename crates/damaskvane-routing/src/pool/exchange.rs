//! How one exchange with a backend server ended, as far as it says something of the server.

use crate::pool::LoadReport;

/// Names an exchange of this instance while it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// What an answer says of the server beside its own matter.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerReport {
    /// The load the server named.
    pub load: Option<LoadReport>,
}

/// The end of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The server answered with what it made of the request.
    Answered,
    /// The server ran the request and failed at it.
    Failed,
    /// The server said that it did not run the request.
    Shed,
    /// Another server answered at the address.
    Misdirected,
    /// The connection broke after the request was written.
    Broken,
    /// What came was no whole answer, or not the answer to this request.
    Malformed,
    /// No connection came about; nothing was written.
    Unreachable,
    /// Nothing came back, not even word that the bytes had arrived.
    Silent,
    /// This instance or the client gave up while the server was at work.
    Abandoned,
}

impl ExchangeEnd {
    /// The end as a word for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Malformed => "malformed",
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Abandoned => "abandoned",
        }
    }
}
