//! How much of a response's body is read before anything else is done, and for how long.
//!
//! A server could send a body without end. A success is the client's, up to the request's deadline; of other responses no
//! more is read than is needed.

use core::time::Duration;

use bytes::Bytes;
use damaskvane_routing::pool::ExchangeEnd;

use crate::http::ReadError;

/// Bodies up to this size are read completely before any byte is sent to the client, so that the request can be retried
/// after a truncated response.
const MAX_BUFFERED_BYTES: usize = 262_144;
/// Time for the body of a failure, or of a response to another request: another server may serve the request meanwhile.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest body of a rejection after which the connection is kept, in bytes. Nobody reads it.
const MAX_REJECTION_BYTES: usize = 16_384;
/// Time for the body of a rejection, after which the connection is closed.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(20);

/// Limits on reading one body.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyLimits {
    pub(super) max_bytes: usize,
    timeout: Option<Duration>,
}

impl BodyLimits {
    /// Returns the limits for the body of a response by which an exchange ends in this way.
    pub(super) const fn of(end: ExchangeEnd) -> Self {
        match end {
            ExchangeEnd::Shed | ExchangeEnd::Misdirected => Self {
                max_bytes: MAX_REJECTION_BYTES,
                timeout: Some(REJECTION_TIMEOUT),
            },
            ExchangeEnd::Answered => Self {
                max_bytes: MAX_BUFFERED_BYTES,
                timeout: None,
            },
            _ => Self {
                max_bytes: MAX_BUFFERED_BYTES,
                timeout: Some(FAILURE_TIMEOUT),
            },
        }
    }

    /// Waits for a body to be read, as long as the limits allow.
    pub(super) async fn apply(
        &self,
        reading: impl Future<Output = Result<Result<Bytes, Bytes>, ReadError>>,
    ) -> Result<Result<Bytes, Bytes>, ReadError> {
        let Some(timeout) = self.timeout else {
            return reading.await;
        };
        let read = tokio::time::timeout(timeout, reading).await;
        read.unwrap_or(Err(ReadError::Late))
    }
}
