//! How an exchange with a backend server ended.

use damaskvane_core::time::TimeMs;
use damaskvane_routing::pool::{Availability, ExchangeEnd, ServerReport};

use crate::clients::Withheld;
use crate::tunnel::Path;
use crate::upstream::{BackendResponse, ResponseFault};

/// When a request was written, and what was known of the availability of its server then.
#[derive(Debug, Clone, Copy)]
pub struct Sending {
    /// When the request was written.
    pub at: TimeMs,
    /// What the server was known to have said.
    pub known: Availability,
}

/// How an exchange ended, with the server's response if it was received.
#[derive(Debug)]
pub struct ExchangeOutcome {
    /// How the exchange ended; determines the server's health rating and whether a retry is allowed.
    pub end: ExchangeEnd,
    /// What the response says of its server.
    pub report: ServerReport,
    /// The moment of sending; `None` if nothing was written.
    pub sending: Option<Sending>,
    /// Why the server's response can't be used; `None` if it can, or if there is none for another reason.
    pub fault: Option<ResponseFault>,
    /// The server's response; the caller decides whether the client gets it.
    pub response: Option<BackendResponse>,
    /// The delay from the response's `Retry-After` header, in milliseconds. Servers set it when they reject a
    /// request.
    pub retry_after_ms: Option<u64>,
    /// The duration of the exchange in milliseconds; `None` if the server has been removed from the pool, the
    /// list of known servers.
    pub took_ms: Option<u64>,
    /// The size of the request and its response, as far as it was read at once, in bytes.
    pub bytes: usize,
    /// The way of the connection to the server; `None` if there was no connection.
    pub path: Option<Path>,
    /// The reason why the request was not sent; `None` unless the exchange was withheld.
    pub(crate) withheld: Option<Withheld>,
}

impl ExchangeOutcome {
    /// Returns the outcome of an exchange that was abandoned before the server responded.
    #[must_use]
    pub fn abandoned() -> Self {
        Self::no_response(ExchangeEnd::Abandoned)
    }

    /// Returns the outcome of an exchange without a response that can be used.
    pub(super) fn faulty(fault: impl Into<ResponseFault>) -> Self {
        let fault = fault.into();
        let end = fault.exchange_end();
        Self {
            fault: Some(fault),
            ..Self::no_response(end)
        }
    }

    pub(super) fn no_response(end: ExchangeEnd) -> Self {
        Self {
            end,
            report: ServerReport::default(),
            sending: None,
            fault: None,
            response: None,
            retry_after_ms: None,
            took_ms: None,
            bytes: 0,
            path: None,
            withheld: None,
        }
    }
}
