//! The head of an answer.

use bytes::BytesMut;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

use crate::http::body::BodyKind;

/// Most headers of an answer.
const MOST_HEADERS: usize = 64;
/// Largest head of an answer.
const MOST_HEAD_BYTES: usize = 32_768;

/// Status and headers of an answer, and how its body ends.
#[derive(Debug)]
pub struct ResponseHead {
    /// Its length in bytes.
    pub bytes: usize,
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// How the body ends.
    pub body: BodyKind,
    /// Whether the sender keeps the connection open.
    pub is_keep_alive: bool,
    /// How long the sender keeps it open without a request, if it says.
    pub idle_timeout_s: Option<u64>,
}

/// Why a head can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedHead;

impl ResponseHead {
    /// Takes the next head off the buffer; `None` while it isn't complete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no answer in the protocol.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, MalformedHead> {
        loop {
            let Some((length, head)) = parse(buffer)? else {
                return Ok(None);
            };
            let _ = buffer.split_to(length);
            // Interim answers (100, 103) say nothing that a client needs.
            if !(100..200).contains(&head.status) {
                return Ok(Some(head));
            }
            if head.status == 101 {
                return Err(MalformedHead);
            }
        }
    }
}

fn parse(buffer: &[u8]) -> Result<Option<(usize, ResponseHead)>, MalformedHead> {
    let mut slots = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut response = httparse::Response::new(&mut slots);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() < MOST_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => return Err(MalformedHead),
    };
    let status = response.code.ok_or(MalformedHead)?;
    let is_http_11 = response.version == Some(1);
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| MalformedHead)?;
        let value = HeaderValue::from_bytes(header.value).map_err(|_| MalformedHead)?;
        headers.append(name, value);
    }
    let body = body_kind(status, &headers)?;
    let connection = text(&headers, &header::CONNECTION).unwrap_or_default();
    let closes = connection.to_ascii_lowercase().contains("close");
    let head = ResponseHead {
        bytes: length,
        status,
        body,
        is_keep_alive: is_http_11 && !closes && body != BodyKind::UntilClose,
        idle_timeout_s: keep_alive_s(&headers),
        headers,
    };
    Ok(Some((length, head)))
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn body_kind(status: u16, headers: &HeaderMap) -> Result<BodyKind, MalformedHead> {
    if status == 204 || status == 304 {
        return Ok(BodyKind::Length(0));
    }
    if let Some(encoding) = headers.get(header::TRANSFER_ENCODING) {
        let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        return if is_chunked {
            Ok(BodyKind::Chunked)
        } else {
            Err(MalformedHead)
        };
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else {
        return Ok(BodyKind::UntilClose);
    };
    // Two lengths that differ leave open where the next answer begins.
    if lengths.any(|other| other != first) {
        return Err(MalformedHead);
    }
    let length = first.to_str().ok().and_then(|text| text.parse().ok());
    length.map(BodyKind::Length).ok_or(MalformedHead)
}

fn keep_alive_s(headers: &HeaderMap) -> Option<u64> {
    let value = text(headers, &HeaderName::from_static("keep-alive"))?;
    let mut parts = value.split(',').map(str::trim);
    parts.find_map(|part| part.strip_prefix("timeout=")?.parse().ok())
}
