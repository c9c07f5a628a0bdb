//! Parsing of the heads of simple requests: HTTP/1.1, GET or HEAD, without a body.
//!
//! Everything that could have a body, ask for another protocol or be malformed is [`ParsedHead::Other`], and none of its
//! bytes is taken: the HTTP library parses it again and decides on it.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::Empty;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri, Version};

use crate::clients::listener::MAX_HEADERS;

/// A request without a body.
#[derive(Debug)]
pub(super) struct SimpleRequest {
    pub(super) request: Request<Empty<Bytes>>,
    /// Whether the client asks to close the connection after the response.
    pub(super) closes: bool,
}

/// What the received bytes begin with.
#[derive(Debug)]
pub(super) enum ParsedHead {
    /// The head isn't complete.
    Partial,
    /// A simple request, whose head was taken from the buffer.
    Simple(Box<SimpleRequest>),
    /// Another request, or malformed bytes; nothing was taken from the buffer.
    Other,
}

impl ParsedHead {
    /// Removes the head of a simple request from the front of `buffer`.
    pub(super) fn take(buffer: &mut BytesMut) -> Self {
        let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut header_slots);
        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Self::Partial,
            Err(_) => return Self::Other,
        };
        let Some(simple) = simple_request(&buffer[..length], &parsed) else {
            return Self::Other;
        };
        buffer.advance(length);
        Self::Simple(Box::new(simple))
    }
}

fn simple_request(head: &[u8], parsed: &httparse::Request<'_, '_>) -> Option<SimpleRequest> {
    let method = match parsed.method? {
        "GET" => Method::GET,
        "HEAD" => Method::HEAD,
        _ => return None,
    };
    let path = parsed.path.filter(|path| path.starts_with('/'))?;
    if parsed.version != Some(1) {
        return None;
    }
    let shared = Bytes::copy_from_slice(head);
    let part = |bytes: &[u8]| {
        let start = bytes.as_ptr().addr() - head.as_ptr().addr();
        shared.slice(start..start + bytes.len())
    };
    let uri = Uri::from_maybe_shared(part(path.as_bytes())).ok()?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        // An empty value may lie outside of the head.
        let value = if field.value.is_empty() {
            HeaderValue::from_static("")
        } else {
            HeaderValue::from_maybe_shared(part(field.value)).ok()?
        };
        if !is_harmless(&name, &value, &headers) {
            return None;
        }
        headers.append(name, value);
    }
    let closes = asks_to_close(&headers)?;
    let mut request = Request::new(Empty::new());
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    Some(SimpleRequest { request, closes })
}

/// Returns whether a header leaves no doubt that the request has no body and keeps the protocol.
fn is_harmless(name: &HeaderName, value: &HeaderValue, earlier: &HeaderMap) -> bool {
    match *name {
        header::TRANSFER_ENCODING | header::EXPECT | header::UPGRADE => false,
        header::CONTENT_LENGTH => value == "0" && !earlier.contains_key(name),
        _ => true,
    }
}

/// Returns whether a `Connection` header has the option `close`; `None` if a value isn't text.
fn asks_to_close(headers: &HeaderMap) -> Option<bool> {
    let mut closes = false;
    for value in headers.get_all(header::CONNECTION) {
        let mut options = value.to_str().ok()?.split(',');
        closes |= options.any(|option| option.trim().eq_ignore_ascii_case("close"));
    }
    Some(closes)
}
