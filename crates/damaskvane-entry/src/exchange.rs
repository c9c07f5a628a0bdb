//! One exchange with a backend server: a fresh connection, one request, one whole answer.
//!
//! attohttpc keeps no connection pool, so that an abandoned exchange can't leave its answer behind for
//! the next one, and a silent connection ends with its own request. What it costs is a connect each.
//!
//! Three things are checked that the library leaves to its caller. It ends a body quietly where the
//! connection closes before `content-length`; a client would take half an answer for the whole,
//! so the length is compared. An answer that is neither chunked nor of a stated length ends with its
//! connection, can't be told from a cut one, and is refused. And it reads a body where there is none.
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
const MOST_HEADERS: usize = 100;

/// How long an answer that left the backend server at its deadline may still be on its way.
const LATE_ANSWER_MS: u64 = 150;

/// What an exchange costs at most.
#[derive(Debug, Clone, Copy)]
pub struct ExchangeLimits {
    /// Time to open the connection.
    pub connect_timeout: time::SpanMs,
    /// Largest body of an answer.
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

/// Runs one exchange and waits for its end.
///
/// A process can be paused between the decision to send and the sending, for longer than the lease of
/// the slot. The request would then run on a slot that others may hold by now, and the backend server
/// would run more than it has slots; so the clock is read again directly before the first byte, and once
/// more after the last: a request that was sent too late is cancelled at once.
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
        Ok(response) => read(response, request, limits),
        Err(error) => failure(&error),
    }
}

/// The word for how an exchange ended.
#[must_use]
pub const fn word(end: &ExchangeEnd) -> &'static str {
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

/// Asks a backend server to stop a request; the answer does not matter.
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
    let wait = time::SpanMs::new(exchange.deadline.get() + LATE_ANSWER_MS);
    let method =
        attohttpc::Method::from_bytes(request.method.as_bytes()).unwrap_or(attohttpc::Method::GET);
    let url = format!("http://{}{}", exchange.address, request.path);
    let mut builder = attohttpc::RequestBuilder::try_new(method, url)?
        .proxy_settings(no_proxy())
        .follow_redirects(false)
        .max_headers(MOST_HEADERS)
        .connect_timeout(limits.connect_timeout.min(wait).to_duration())
        .read_timeout(wait.to_duration())
        .timeout(wait.to_duration())
        .try_header(header::REQUEST_ID, request.request_id.as_str())?
        .try_header(header::DEADLINE_MS, exchange.deadline.get().to_string())?;
    if let Some(idempotency) = &request.idempotency {
        builder = builder.try_header(header::IDEMPOTENCY_KEY, idempotency.key.as_str())?;
    }
    for passed in &request.headers {
        let Ok(name) = HeaderName::from_bytes(passed.name().as_bytes()) else {
            continue;
        };
        builder = builder.try_header_append(name, passed.value())?;
    }
    builder.body(body).send()
}

fn failure(error: &attohttpc::Error) -> ExchangeEnd {
    match error.kind() {
        attohttpc::ErrorKind::Io(error) => io_failure(error),
        attohttpc::ErrorKind::Http(_)
        | attohttpc::ErrorKind::InvalidBaseUrl
        | attohttpc::ErrorKind::InvalidUrlHost
        | attohttpc::ErrorKind::InvalidUrlPort => ExchangeEnd::NotSent,
        attohttpc::ErrorKind::InvalidResponse(_) => ExchangeEnd::TruncatedResponse,
        _ => ExchangeEnd::Lost,
    }
}

/// Only errors that a connect alone can cause prove that nothing was sent.
fn io_failure(error: &io::Error) -> ExchangeEnd {
    match error.kind() {
        io::ErrorKind::ConnectionRefused
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable
        | io::ErrorKind::AddrNotAvailable => ExchangeEnd::NotSent,
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => ExchangeEnd::Timeout,
        _ => ExchangeEnd::Lost,
    }
}

fn read(
    response: attohttpc::Response,
    request: &message::ServiceRequest,
    limits: ExchangeLimits,
) -> ExchangeEnd {
    let (status, headers, reader) = response.split();
    if !names_only(&headers, request.request_id.as_str()) {
        return ExchangeEnd::MismatchedResponse;
    }
    if status.as_u16() == STATUS_UNAVAILABLE && text(&headers, header::NOT_RUN) == Some("true") {
        return ExchangeEnd::Refused;
    }
    if has_no_body(request, status) {
        // Reading on would wait for bytes that never come while the server keeps the connection open.
        return answered(status, &headers, Vec::new());
    }
    let is_whole_at_end = content_length(&headers).is_none() && is_chunked(&reader);
    let mut body = Vec::new();
    let most = limits.response_limit_bytes as u64 + 1;
    if let Err(error) = reader.take(most).read_to_end(&mut body) {
        return match io_failure(&error) {
            ExchangeEnd::Timeout => ExchangeEnd::Timeout,
            _ => ExchangeEnd::TruncatedResponse,
        };
    }
    if body.len() > limits.response_limit_bytes {
        return ExchangeEnd::TruncatedResponse;
    }
    if is_whole_at_end || content_length(&headers) == Some(body.len()) {
        return answered(status, &headers, body);
    }
    ExchangeEnd::TruncatedResponse
}

fn answered(status: attohttpc::StatusCode, headers: &HeaderMap, body: Vec<u8>) -> ExchangeEnd {
    ExchangeEnd::Answered(message::BackendResponse {
        status: status.as_u16(),
        headers: passed_on(headers),
        body,
    })
}

/// Whether the answer names this request and no other: something in between that joins the heads of two
/// answers shows by two names.
fn names_only(headers: &HeaderMap, request_id: &str) -> bool {
    let mut names = headers.get_all(header::REQUEST_ID).iter();
    names.next().is_some_and(|name| name == request_id) && names.next().is_none()
}

fn has_no_body(request: &message::ServiceRequest, status: attohttpc::StatusCode) -> bool {
    request.method == "HEAD"
        || status == attohttpc::StatusCode::NO_CONTENT
        || status == attohttpc::StatusCode::NOT_MODIFIED
}

/// Whether the body comes in chunks, so that its end is known from its last chunk.
///
/// The library takes the header away before its caller sees it, and shows the kind of its reader by `Debug`
/// alone. Without this, every chunked answer counts as cut, though its request ran. Should the library
/// name its reader otherwise one day, chunked answers are refused again (and a test fails); a
/// cut answer is never taken for a whole one.
fn is_chunked(reader: &attohttpc::ResponseReader) -> bool {
    format!("{reader:?}").contains("Chunked(")
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    text(headers, CONTENT_LENGTH.as_str())?.parse().ok()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn passed_on(headers: &HeaderMap) -> Vec<message::Header> {
    headers
        .iter()
        .filter(|(name, _)| header::is_forwarded(name.as_str()))
        .filter_map(|(name, value)| Some(message::Header::new(name.as_str(), value.to_str().ok()?)))
        .collect()
}
