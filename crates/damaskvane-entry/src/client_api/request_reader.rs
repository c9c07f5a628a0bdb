//! Reads a client's request: headers, and the whole body within limits of size and time.
//!
//! ```
//! use damaskvane_entry::client_api::request_reader;
//!
//! let error = request_reader::RequestReadError::BodyTooLarge { limit_bytes: 10 };
//! assert!(error.to_string().contains("10 bytes"));
//! ```

use core::str::FromStr;
use core::time::Duration;

use bytes::Bytes;
use damaskvane_core::{ids, time};
use damaskvane_dispatch::refusal;
use damaskvane_engine::message;
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use hyper::http::request;

use crate::client_api::header;

const MAX_DEADLINE: time::SpanMs = time::SpanMs::new(600_000);

/// Limits on the body of a request.
#[derive(Debug, Clone, Copy)]
pub struct BodyBounds {
    /// Maximum size in bytes.
    pub limit_bytes: usize,
    /// Maximum time for the client to send the whole body.
    pub timeout: Duration,
}

/// Reason why a request was refused before it reached the engine.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum RequestReadError {
    /// header {name} has the value {value:?}; {remedy}
    Header {
        /// Name of the malformed header.
        name: &'static str,
        /// Received value, limited to 100 characters.
        value: String,
        /// Format that the value must have.
        remedy: String,
    },
    /// header {name} is missing; {remedy}
    Missing {
        /// Name of the missing header.
        name: &'static str,
        /// Headers that the client must send.
        remedy: &'static str,
    },
    /// the body is longer than {limit_bytes} bytes; send less
    BodyTooLarge {
        /// Maximum size in bytes.
        limit_bytes: usize,
    },
    /// the body did not arrive whole within {timeout_ms} ms; send it faster
    BodyTooSlow {
        /// Maximum time in milliseconds.
        timeout_ms: u128,
    },
    /// the body broke off; send it whole
    BodyTruncated,
}

impl RequestReadError {
    /// Returns the refusal reason under which the error is counted.
    #[must_use]
    pub const fn reason(&self) -> refusal::RefusalReason {
        match self {
            Self::BodyTooLarge { .. } => refusal::RefusalReason::BodyTooLarge,
            Self::Missing { .. } => refusal::RefusalReason::KeyMissing,
            Self::Header { .. } | Self::BodyTooSlow { .. } | Self::BodyTruncated => {
                refusal::RefusalReason::MalformedRequest
            }
        }
    }
}

/// Reads the head of a request for a service; [`read_body`] reads its body.
///
/// # Errors
///
/// Fails if a header is missing or malformed; the error names the header.
pub fn read_head(
    parts: &request::Parts,
    service: ids::ServiceId,
    path: &str,
    new_request_id: impl FnOnce() -> ids::RequestId,
) -> Result<message::ServiceRequest, RequestReadError> {
    let request_id = request_id(parts)?.unwrap_or_else(new_request_id);
    let mut request = message::ServiceRequest::get(service, path, request_id);
    request.method = parts.method.as_str().to_owned();
    request.client = parse_header(parts, header::CLIENT)?;
    request.priority = parse_header(parts, header::PRIORITY)?.unwrap_or_default();
    request.idempotency = idempotency(parts)?;
    if let Some(time_left_ms) = parse_header::<u64>(parts, header::DEADLINE_MS)? {
        request.time_left = time::SpanMs::new(time_left_ms).min(MAX_DEADLINE);
    }
    if request.idempotency.is_none() && !request.is_repeatable() {
        return Err(RequestReadError::Missing {
            name: header::IDEMPOTENCY_KEY,
            remedy: "send a key and its home with every request that is not GET or HEAD",
        });
    }
    request.headers = forwarded_headers(parts);
    Ok(request)
}

/// Reads the request id that the client sent, if any.
///
/// # Errors
///
/// Fails if the id is malformed.
pub fn request_id(parts: &request::Parts) -> Result<Option<ids::RequestId>, RequestReadError> {
    parse_header(parts, header::REQUEST_ID)
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Fails if the body exceeds a limit of `bounds` or ends early.
pub async fn read_body<B>(body: B, bounds: BodyBounds) -> Result<Vec<u8>, RequestReadError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn core::error::Error + Send + Sync>>,
{
    let limited = Limited::new(body, bounds.limit_bytes);
    match tokio::time::timeout(bounds.timeout, limited.collect()).await {
        Err(_) => Err(RequestReadError::BodyTooSlow {
            timeout_ms: bounds.timeout.as_millis(),
        }),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(RequestReadError::BodyTooLarge {
                limit_bytes: bounds.limit_bytes,
            })
        }
        Ok(Err(_)) => Err(RequestReadError::BodyTruncated),
        Ok(Ok(collected)) => Ok(collected.to_bytes().to_vec()),
    }
}

fn idempotency(parts: &request::Parts) -> Result<Option<message::Idempotency>, RequestReadError> {
    let key = parse_header(parts, header::IDEMPOTENCY_KEY)?;
    let home = parse_header(parts, header::HOME)?;
    match (key, home) {
        (Some(key), Some(home)) => Ok(Some(message::Idempotency {
            key,
            home,
            try_number: parse_header(parts, header::TRY)?.unwrap_or_default(),
        })),
        (Some(_), None) => Err(RequestReadError::Missing {
            name: header::HOME,
            remedy: "send instance/incarnation of the entry instance that the first try went to",
        }),
        (None, _) => Ok(None),
    }
}

fn parse_header<T>(
    parts: &request::Parts,
    name: &'static str,
) -> Result<Option<T>, RequestReadError>
where
    T: FromStr,
    T::Err: core::fmt::Display,
{
    let Some(value) = parts.headers.get(name) else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(error) => Err(RequestReadError::Header {
            name,
            value: text.chars().take(100).collect(),
            remedy: T::Err::to_string(&error),
        }),
    }
}

fn forwarded_headers(parts: &request::Parts) -> Vec<message::Header> {
    parts
        .headers
        .iter()
        .filter(|(name, _)| header::is_forwarded(name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some(message::Header::new(name.as_str(), value))
        })
        .collect()
}
