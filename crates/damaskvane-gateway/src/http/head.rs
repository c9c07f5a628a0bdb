//! Parsing of response heads.

use core::ops::RangeInclusive;

use bytes::BytesMut;
use hyper::StatusCode;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

use crate::http::body::BodyKind;
use crate::http::connection_headers::listed_in_connection;

/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;
/// Maximum length of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 32_768;
/// The statuses that a response may have (RFC 9110, section 15).
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// Maximum number of interim responses before a response; a server could send them without end.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Number of interim responses that have come before a response.
#[derive(Debug, Default)]
pub(super) struct InterimResponses(u32);

/// The status and headers of a response, with the body framing and connection options derived from them.
#[derive(Debug)]
pub struct ResponseHead {
    /// The length of the head in bytes.
    pub bytes: usize,
    /// The status, which is valid and no interim one.
    pub status: StatusCode,
    /// All headers, including those that apply only to this connection.
    pub headers: HeaderMap,
    /// How the end of the body is determined.
    pub body: BodyKind,
    /// Whether the sender keeps the connection open after the response.
    pub is_keep_alive: bool,
    /// The sender's idle timeout for the connection, in seconds, if its `Keep-Alive` header names one.
    pub idle_timeout_s: Option<u64>,
}

/// Why bytes are not a valid response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum MalformedHead {
    /// the bytes are no head of an HTTP/1.1 response
    Syntax,
    /// the head is too long
    TooLong,
    /// no response may have the status {0}
    Status(u16),
    /// the length of the body is ambiguous
    BodyLength,
    /// there are too many interim responses
    InterimResponses,
    /// the protocol is switched, which nobody has asked for
    SwitchedProtocols,
}

impl ResponseHead {
    /// Returns whether the response has a header that remains when those of the connection are removed.
    #[must_use]
    pub fn has_end_to_end(&self, name: &HeaderName) -> bool {
        let mut listed = listed_in_connection(&self.headers);
        self.headers.contains_key(name) && !listed.any(|one| one == name)
    }

    /// Removes the next head from the front of `buffer`; returns `None` while the head isn't complete.
    ///
    /// Interim responses are skipped.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedHead`] if the bytes are not a valid response head or switch protocols (101).
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, MalformedHead> {
        let mut interim = InterimResponses::default();
        Self::take_counted(buffer, &mut interim)
    }

    /// Removes the next head as [`Self::take`] does, and counts the interim responses before it.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::take`], and if there are too many interim responses.
    pub(super) fn take_counted(
        buffer: &mut BytesMut,
        interim: &mut InterimResponses,
    ) -> Result<Option<Self>, MalformedHead> {
        loop {
            let Some((length, head)) = parse(buffer)? else {
                return Ok(None);
            };
            let _ = buffer.split_to(length);
            // Interim responses (100, 103) hold nothing that a client needs.
            if !head.status.is_informational() {
                return Ok(Some(head));
            }
            interim.0 += 1;
            if head.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(MalformedHead::SwitchedProtocols);
            }
            if interim.0 > MAX_INTERIM_RESPONSES {
                return Err(MalformedHead::InterimResponses);
            }
        }
    }
}

fn parse(buffer: &[u8]) -> Result<Option<(usize, ResponseHead)>, MalformedHead> {
    let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut header_slots);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(MalformedHead::TooLong),
        Err(_) => return Err(MalformedHead::Syntax),
    };
    let status = valid_status(response.code.ok_or(MalformedHead::Syntax)?)?;
    let is_http_11 = response.version == Some(1);
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(MalformedHead::Syntax);
        };
        headers.append(name, value);
    }
    let body = body_kind(status, &headers)?;
    let connection = header_text(&headers, &header::CONNECTION).unwrap_or_default();
    let closes = connection.to_ascii_lowercase().contains("close");
    let head = ResponseHead {
        bytes: length,
        status,
        body,
        is_keep_alive: is_http_11 && !closes && body != BodyKind::UntilClose,
        idle_timeout_s: keep_alive_timeout_s(&headers),
        headers,
    };
    Ok(Some((length, head)))
}

fn valid_status(code: u16) -> Result<StatusCode, MalformedHead> {
    let status = StatusCode::from_u16(code).ok();
    status
        .filter(|_| VALID_STATUSES.contains(&code))
        .ok_or(MalformedHead::Status(code))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn body_kind(status: StatusCode, headers: &HeaderMap) -> Result<BodyKind, MalformedHead> {
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Ok(BodyKind::Length(0));
    }
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    if let Some(encoding) = encodings.next() {
        let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        return if is_chunked && encodings.next().is_none() {
            Ok(BodyKind::Chunked)
        } else {
            Err(MalformedHead::BodyLength)
        };
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else {
        return Ok(BodyKind::UntilClose);
    };
    // With two different lengths, the start of the next response is ambiguous.
    if lengths.any(|other| other != first) {
        return Err(MalformedHead::BodyLength);
    }
    let digits = first
        .to_str()
        .ok()
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let length = digits.and_then(|text| text.parse().ok());
    length
        .map(BodyKind::Length)
        .ok_or(MalformedHead::BodyLength)
}

fn keep_alive_timeout_s(headers: &HeaderMap) -> Option<u64> {
    let value = header_text(headers, &HeaderName::from_static("keep-alive"))?;
    let mut parts = value.split(',').map(str::trim);
    parts.find_map(|part| part.strip_prefix("timeout=")?.parse().ok())
}
