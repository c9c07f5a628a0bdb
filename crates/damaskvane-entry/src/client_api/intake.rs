//! Reads a client's request: path, headers, and the whole body within its bounds.
//!
//! ```
//! use damaskvane_entry::client_api::intake;
//!
//! let error = intake::IntakeError::BodyTooLarge { limit_bytes: 10 };
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

const LONGEST_DEADLINE: time::SpanMs = time::SpanMs::new(600_000);

/// What a body costs at most.
#[derive(Debug, Clone, Copy)]
pub struct BodyBounds {
    /// Its size.
    pub limit_bytes: usize,
    /// The time to send all of it.
    pub timeout: Duration,
}

/// Why a request never reached the engine.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum IntakeError {
    /// header {name} has the value {value:?}; {remedy}
    Header {
        /// The header.
        name: &'static str,
        /// Its value.
        value: String,
        /// What to send instead.
        remedy: String,
    },
    /// header {name} is missing; {remedy}
    Missing {
        /// The header.
        name: &'static str,
        /// What to send.
        remedy: &'static str,
    },
    /// the body is longer than {limit_bytes} bytes; send less
    BodyTooLarge {
        /// The bound.
        limit_bytes: usize,
    },
    /// the body did not arrive whole within {timeout_ms} ms; send it faster
    BodyTooSlow {
        /// The bound.
        timeout_ms: u128,
    },
    /// the body broke off; send it whole
    BodyCut,
}

impl IntakeError {
    /// The refusal reason it is counted under.
    #[must_use]
    pub const fn reason(&self) -> refusal::RefusalReason {
        match self {
            Self::BodyTooLarge { .. } => refusal::RefusalReason::BodyTooLarge,
            Self::Missing { .. } => refusal::RefusalReason::KeyMissing,
            Self::Header { .. } | Self::BodyTooSlow { .. } | Self::BodyCut => {
                refusal::RefusalReason::MalformedRequest
            }
        }
    }
}

/// Reads the head of a request for a service; the body follows by [`read_body`].
///
/// # Errors
///
/// Names the header that is missing or malformed.
pub fn read_head(
    parts: &request::Parts,
    service: ids::ServiceId,
    path: &str,
    new_request_id: impl FnOnce() -> ids::RequestId,
) -> Result<message::ServiceRequest, IntakeError> {
    let request_id = request_id(parts)?.unwrap_or_else(new_request_id);
    let mut request = message::ServiceRequest::get(service, path, request_id);
    request.method = parts.method.as_str().to_owned();
    request.client = parsed(parts, header::CLIENT)?;
    request.priority = parsed(parts, header::PRIORITY)?.unwrap_or_default();
    request.idempotency = idempotency(parts)?;
    if let Some(time_left_ms) = parsed::<u64>(parts, header::DEADLINE_MS)? {
        request.time_left = time::SpanMs::new(time_left_ms).min(LONGEST_DEADLINE);
    }
    if request.idempotency.is_none() && !request.is_repeatable() {
        return Err(IntakeError::Missing {
            name: header::IDEMPOTENCY_KEY,
            remedy: "send a key and its home with every request that is not GET or HEAD",
        });
    }
    request.headers = passed_on(parts);
    Ok(request)
}

/// Reads the client's name for its try.
///
/// # Errors
///
/// Fails if the name is malformed.
pub fn request_id(parts: &request::Parts) -> Result<Option<ids::RequestId>, IntakeError> {
    parsed(parts, header::REQUEST_ID)
}

/// Reads a whole body within its bounds.
///
/// # Errors
///
/// Fails if the body is too large, too slow or breaks off.
pub async fn read_body<B>(body: B, bounds: BodyBounds) -> Result<Vec<u8>, IntakeError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn core::error::Error + Send + Sync>>,
{
    let limited = Limited::new(body, bounds.limit_bytes);
    match tokio::time::timeout(bounds.timeout, limited.collect()).await {
        Err(_) => Err(IntakeError::BodyTooSlow {
            timeout_ms: bounds.timeout.as_millis(),
        }),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(IntakeError::BodyTooLarge {
                limit_bytes: bounds.limit_bytes,
            })
        }
        Ok(Err(_)) => Err(IntakeError::BodyCut),
        Ok(Ok(collected)) => Ok(collected.to_bytes().to_vec()),
    }
}

fn idempotency(parts: &request::Parts) -> Result<Option<message::Idempotency>, IntakeError> {
    let key = parsed(parts, header::IDEMPOTENCY_KEY)?;
    let home = parsed(parts, header::HOME)?;
    match (key, home) {
        (Some(key), Some(home)) => Ok(Some(message::Idempotency {
            key,
            home,
            try_number: parsed(parts, header::TRY)?.unwrap_or_default(),
        })),
        (Some(_), None) => Err(IntakeError::Missing {
            name: header::HOME,
            remedy: "send instance/incarnation of the entry instance that the first try went to",
        }),
        (None, _) => Ok(None),
    }
}

fn parsed<T>(parts: &request::Parts, name: &'static str) -> Result<Option<T>, IntakeError>
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
        Err(error) => Err(IntakeError::Header {
            name,
            value: text.chars().take(100).collect(),
            remedy: T::Err::to_string(&error),
        }),
    }
}

fn passed_on(parts: &request::Parts) -> Vec<message::Header> {
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
