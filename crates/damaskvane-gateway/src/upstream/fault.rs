//! Why a response of a backend server can't be used.

use damaskvane_routing::pool::ExchangeEnd;

use crate::http::ReadError;
use crate::upstream::classify::classify_io_error;

/// Why no valid response to a request was read.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ResponseFault {
    /// {0}
    Unreadable(#[from] ReadError),
    /// only responses to other requests have come
    OtherRequests,
    /// the success has no signature of a server
    Unsigned,
    /// the body is encoded, which nobody has asked for
    Encoded,
}

impl ResponseFault {
    /// Returns how an exchange with this fault has ended.
    pub(super) fn exchange_end(&self) -> ExchangeEnd {
        match self {
            Self::Unreadable(ReadError::Io(error)) => classify_io_error(error),
            _ => ExchangeEnd::Malformed,
        }
    }
}
