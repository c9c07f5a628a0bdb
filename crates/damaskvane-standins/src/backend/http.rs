//! Reads HTTP requests from a connection and writes responses to it.
//!
//! A fault closes the connection at an exact byte, which an HTTP server library doesn't allow. Only
//! the parser of the request head comes from a library.

use std::io::{self, Read, Write};
use std::net;

/// The maximum size of a request's head; a larger head ends the connection.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The maximum size of a request's body; a larger body ends the connection.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// The head of a received request; the body is read and discarded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) target: String,
    headers: Vec<(String, String)>,
    pub(crate) keep_alive: bool,
}

impl Request {
    /// Returns the value of a header, or an empty string if the header is missing.
    pub(crate) fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the path without the query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a numeric query parameter, or `None` if it is missing or no number.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        value.parse().ok()
    }
}

/// Reads one request; returns `None` if the caller closes the connection before its head is complete.
///
/// `buffer` holds bytes that were received beyond the request, for the next call.
pub(crate) fn read_request(
    stream: &mut net::TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Request>> {
    loop {
        if let Some((request, head_bytes, body_bytes)) = parse_head(buffer)? {
            let request_bytes = head_bytes + body_bytes;
            while buffer.len() < request_bytes {
                if !fill(stream, buffer)? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            buffer.drain(..request_bytes);
            return Ok(Some(request));
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(io::Error::other("head too long"));
        }
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    }
}

fn fill(stream: &mut net::TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 8192];
    let count = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

/// Returns the request and the sizes of its head and body; `None` while the head is incomplete.
fn parse_head(buffer: &[u8]) -> io::Result<Option<(Request, usize, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(buffer).map_err(io::Error::other)?;
    let httparse::Status::Complete(head_bytes) = status else {
        return Ok(None);
    };
    let mut request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        ..Request::default()
    };
    for header in parsed.headers.iter() {
        let value = String::from_utf8_lossy(header.value).into_owned();
        request.headers.push((header.name.to_owned(), value));
    }
    request.keep_alive =
        parsed.version == Some(1) && !request.header("connection").eq_ignore_ascii_case("close");
    if !request.header("transfer-encoding").is_empty() {
        return Err(io::Error::other("send a content-length, not chunks"));
    }
    let length = request.header("content-length");
    let body_bytes = if length.is_empty() {
        0
    } else {
        length.parse().map_err(io::Error::other)?
    };
    if body_bytes > MAX_BODY_BYTES {
        return Err(io::Error::other("body too long"));
    }
    Ok(Some((request, head_bytes, body_bytes)))
}

/// A response to send.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) request_id: String,
    pub(crate) not_run: bool,
    pub(crate) body: Vec<u8>,
}

impl Response {
    /// Encodes the head and body as sent on the connection.
    fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            404 => "Not Found",
            503 => "Service Unavailable",
            504 => "Gateway Timeout",
            _ => "Error",
        };
        let connection = if keep_alive { "keep-alive" } else { "close" };
        let mut head = format!(
            "HTTP/1.1 {} {reason}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: {connection}\r\n",
            self.status,
            self.body.len(),
        );
        if !self.request_id.is_empty() {
            head.push_str(&format!("damaskvane-request-id: {}\r\n", self.request_id));
        }
        if self.not_run {
            head.push_str("damaskvane-not-run: true\r\n");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Writes the complete response.
    pub(crate) fn write(&self, stream: &mut net::TcpStream, keep_alive: bool) -> io::Result<()> {
        stream.write_all(&self.encode(keep_alive))
    }

    /// Writes the response up to the middle of its body.
    pub(crate) fn write_truncated(&self, stream: &mut net::TcpStream) -> io::Result<()> {
        let bytes = self.encode(true);
        let sent_bytes = bytes.len() - self.body.len() / 2 - 1;
        stream.write_all(&bytes[..sent_bytes])
    }
}
