//! How an exchange with a backend server ended.
//!
//! An exchange is one request that this instance sends to a backend server, with the response.

/// Number that identifies an exchange of this instance while the exchange is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// How an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The server ran the request and sent the result.
    Answered,
    /// The server ran the request and reported a failure.
    Failed,
    /// The server responded that it did not run the request.
    Shed,
    /// A server of another name responded at the server's address.
    Misdirected,
    /// The connection broke after the request was written.
    Broken,
    /// The response was malformed or incomplete, or belonged to another request.
    Malformed,
    /// The request may not be sent any more, so no part of it was written.
    Withheld,
    /// The server limits the rate of its requests and there was no token for this one, so no part of it was written.
    Limited,
    /// The server rests or leaves by its own word, so no part of the request was written.
    Unavailable,
    /// No connection was established, so no part of the request was written.
    Unreachable,
    /// No response arrived, and the server's host didn't acknowledge the bytes that were sent.
    Silent,
    /// This instance or the client stopped waiting before the server responded.
    Abandoned,
    /// This instance took the request back, since the request may crash servers.
    Withdrawn,
}

impl ExchangeEnd {
    /// Returns the label for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Malformed => "malformed",
            Self::Withheld => "withheld",
            Self::Limited => "limited",
            Self::Unavailable => "unavailable",
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Abandoned => "abandoned",
            Self::Withdrawn => "withdrawn",
        }
    }
}
