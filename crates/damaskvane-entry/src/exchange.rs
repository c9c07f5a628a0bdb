//! HTTP exchanges with backend servers: a new connection, one request and one complete response each.
//!
//! attohttpc keeps no connection pool, so that the response of an abandoned exchange can't be read by the
//! next exchange, and an unresponsive connection affects only its own request. The cost is one connect per
//! exchange.
//!
//! Three cases that the library leaves to its caller are handled here:
//!
//! - The library reports no error where the connection closes before `content-length` bytes were read. The
//!   length is compared, because a client would otherwise take a truncated response for a complete one.
//! - A response that is neither chunked nor has a `content-length` ends with its connection. It can't be
//!   distinguished from a truncated response and is treated as one.
//! - The library tries to read a body where the response has none, as for a `HEAD` request.
//!
//! ```
//! use damaskvane_entry::exchange;
//!
//! let limits = exchange::ExchangeLimits::default();
//! assert!(limits.response_limit_bytes > 0);
//! ```

mod leased_body;

use core::time::Duration;
use std::io::{self, Read};
use std::sync::atomic::Ordering;

use attohttpc::header::{CONTENT_LENGTH, HeaderMap, HeaderName};
use damaskvane_core::{ids, time};
use damaskvane_engine::event::{self, ExchangeEnd};
use damaskvane_engine::message;

use crate::client_api::header;
use crate::clock;

const STATUS_UNAVAILABLE: u16 = 503;
const MAX_HEADERS: usize = 100;

/// Time in ms that is added to the deadline of an exchange for the network delay of a response that the
/// backend server sends just before the deadline.
const LATE_RESPONSE_MS: u64 = 150;

/// The limits of one exchange.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeLimits {
    /// Maximum time to open the connection.
    pub connect_timeout: time::SpanMs,
    /// Maximum size of a response body; a longer response counts as truncated.
    pub response_limit_bytes: usize,
}

impl Default for ExchangeLimits {
    fn default() -> Self {
        Self {
            connect_timeout: time::SpanMs::new(1_000),
            response_limit_bytes: 1_048_576,
        }
    }
}

/// Runs one exchange and blocks until it ends.
///
/// A slot is the right to run one request on a backend server, held under a lease. A process can be paused
/// between the decision to send a request and the sending, for longer than the lease. Another instance may
/// hold the slot by then, so that the backend server would run more requests than it has slots. Therefore
/// the clock is read directly before the connection is opened and again after the last byte of the request:
/// an expired lease prevents the exchange, and a request that was sent too late is cancelled at once.
#[must_use]
pub fn run(
    exchange: &event::Exchange,
    clock: clock::MonotonicClock,
    limits: ExchangeLimits,
) -> ExchangeEnd {
    if clock.now() >= exchange.begin_before {
        return ExchangeEnd::NotSent;
    }
    let request = &exchange.request;
    let body = leased_body::LeasedBody::new(&request.body, clock, exchange.begin_before);
    let sent_late = body.sent_late();
    let result = send(exchange, body, limits);
    if sent_late.load(Ordering::Acquire) {
        cancel(&exchange.address.to_string(), &request.request_id);
    }
    match result {
        Ok(response) => read_response(response, request, limits),
        Err(error) => end_of_failure(&error),
    }
}

/// Returns the label of the end of an exchange, for logs.
#[must_use]
pub const fn end_label(end: &ExchangeEnd) -> &'static str {
    match end {
        ExchangeEnd::Answered(_) => "answered",
        ExchangeEnd::Refused => "refused",
        ExchangeEnd::NotSent => "not_sent",
        ExchangeEnd::Lost => "lost",
        ExchangeEnd::Timeout => "silent",
        ExchangeEnd::TruncatedResponse => "cut",
        ExchangeEnd::MismatchedResponse => "crossed",
    }
}

/// Requests a backend server to cancel a request; waits at most 1 s and ignores the response and any error.
pub fn cancel(address: &str, request_id: &ids::RequestId) {
    let url = format!("http://{address}/cancel/{request_id}");
    let _ = attohttpc::post(url)
        .proxy_settings(no_proxy())
        .timeout(Duration::from_secs(1))
        .send();
}

fn no_proxy() -> attohttpc::ProxySettings {
    attohttpc::ProxySettings::builder().build()
}

fn send(
    exchange: &event::Exchange,
    body: leased_body::LeasedBody,
    limits: ExchangeLimits,
) -> attohttpc::Result<attohttpc::Response> {
    let request = &exchange.request;
    let timeout = time::SpanMs::new(exchange.deadline.get() + LATE_RESPONSE_MS);
    let method =
        attohttpc::Method::from_bytes(request.method.as_bytes()).unwrap_or(attohttpc::Method::GET);
    let url = format!("http://{}{}", exchange.address, request.path);
    let mut builder = attohttpc::RequestBuilder::try_new(method, url)?
        .proxy_settings(no_proxy())
        .follow_redirects(false)
        .max_headers(MAX_HEADERS)
        .connect_timeout(limits.connect_timeout.min(timeout).to_duration())
        .read_timeout(timeout.to_duration())
        .timeout(timeout.to_duration())
        .try_header(header::REQUEST_ID, request.request_id.as_str())?
        .try_header(header::DEADLINE_MS, exchange.deadline.get().to_string())?;
    if let Some(idempotency) = &request.idempotency {
        builder = builder.try_header(header::IDEMPOTENCY_KEY, idempotency.key.as_str())?;
    }
    for forwarded in &request.headers {
        let Ok(name) = HeaderName::from_bytes(forwarded.name().as_bytes()) else {
            continue;
        };
        builder = builder.try_header_append(name, forwarded.value())?;
    }
    builder.body(body).send()
}

fn end_of_failure(error: &attohttpc::Error) -> ExchangeEnd {
    match error.kind() {
        attohttpc::ErrorKind::Io(error) => end_of_io_failure(error),
        attohttpc::ErrorKind::Http(_)
        | attohttpc::ErrorKind::InvalidBaseUrl
        | attohttpc::ErrorKind::InvalidUrlHost
        | attohttpc::ErrorKind::InvalidUrlPort => ExchangeEnd::NotSent,
        attohttpc::ErrorKind::InvalidResponse(_) => ExchangeEnd::TruncatedResponse,
        _ => ExchangeEnd::Lost,
    }
}

/// Returns the end of an exchange that failed with an I/O error. The end is `NotSent` only for errors that
/// can occur while connecting and at no later time: only these prove that no byte was sent.
fn end_of_io_failure(error: &io::Error) -> ExchangeEnd {
    match error.kind() {
        io::ErrorKind::ConnectionRefused
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable
        | io::ErrorKind::AddrNotAvailable => ExchangeEnd::NotSent,
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => ExchangeEnd::Timeout,
        _ => ExchangeEnd::Lost,
    }
}

fn read_response(
    response: attohttpc::Response,
    request: &message::ServiceRequest,
    limits: ExchangeLimits,
) -> ExchangeEnd {
    let (status, headers, reader) = response.split();
    if !names_only_request(&headers, request.request_id.as_str()) {
        return ExchangeEnd::MismatchedResponse;
    }
    if status.as_u16() == STATUS_UNAVAILABLE
        && header_text(&headers, header::NOT_RUN) == Some("true")
    {
        return ExchangeEnd::Refused;
    }
    if has_no_body(request, status) {
        // A read would block until the timeout if the server keeps the connection open.
        return answered(status, &headers, Vec::new());
    }
    let is_complete_at_end = content_length(&headers).is_none() && is_chunked(&reader);
    let mut body = Vec::new();
    let max_bytes = limits.response_limit_bytes as u64 + 1;
    if let Err(error) = reader.take(max_bytes).read_to_end(&mut body) {
        return match end_of_io_failure(&error) {
            ExchangeEnd::Timeout => ExchangeEnd::Timeout,
            _ => ExchangeEnd::TruncatedResponse,
        };
    }
    if body.len() > limits.response_limit_bytes {
        return ExchangeEnd::TruncatedResponse;
    }
    if is_complete_at_end || content_length(&headers) == Some(body.len()) {
        return answered(status, &headers, body);
    }
    ExchangeEnd::TruncatedResponse
}

fn answered(status: attohttpc::StatusCode, headers: &HeaderMap, body: Vec<u8>) -> ExchangeEnd {
    ExchangeEnd::Answered(message::BackendResponse {
        status: status.as_u16(),
        headers: forwarded_headers(headers),
        body,
    })
}

/// Returns whether the response carries exactly one request id and it equals `request_id`.
///
/// Two ids show that an intermediary merged the headers of two responses.
fn names_only_request(headers: &HeaderMap, request_id: &str) -> bool {
    let mut ids = headers.get_all(header::REQUEST_ID).iter();
    ids.next().is_some_and(|id| id == request_id) && ids.next().is_none()
}

fn has_no_body(request: &message::ServiceRequest, status: attohttpc::StatusCode) -> bool {
    request.method == "HEAD"
        || status == attohttpc::StatusCode::NO_CONTENT
        || status == attohttpc::StatusCode::NOT_MODIFIED
}

/// Returns whether the body has the chunked transfer coding, whose last chunk marks the end.
///
/// The library removes the `transfer-encoding` header and shows the kind of its reader only by `Debug`.
/// Without this check every chunked response would count as truncated, although its request ran. If a later
/// version of the library renames the reader, chunked responses count as truncated again and a test fails; a
/// truncated response never counts as complete.
fn is_chunked(reader: &attohttpc::ResponseReader) -> bool {
    format!("{reader:?}").contains("Chunked(")
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    header_text(headers, CONTENT_LENGTH.as_str())?.parse().ok()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<message::Header> {
    headers
        .iter()
        .filter(|(name, _)| header::is_forwarded(name.as_str()))
        .filter_map(|(name, value)| Some(message::Header::new(name.as_str(), value.to_str().ok()?)))
        .collect()
}
