//! Framing and writing of responses.

use core::pin::Pin;
use core::task::{Context, Poll};
use std::collections::VecDeque;
use std::io;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::body::{Body, SizeHint};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::net::TcpStream;

use crate::clients::pipeline::date;
use crate::clients::pipeline::queue::Details;
use crate::clients::pipeline::reservation::Reservation;
use crate::upstream::ResponseBody;

/// Number of bytes to be written from which no further ones are framed.
const MAX_PENDING_BYTES: usize = 16_384;
/// Most pieces that are written at once.
const MAX_SLICES: usize = 16;
/// Estimated length of a head, in bytes.
const HEAD_BYTES: usize = 512;

/// How the client finds the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// The body has this number of further bytes.
    Exact(u64),
    Chunked,
    /// The response has no body, whatever its status and headers say.
    None,
}

/// The response that is being written, and the bytes that are to be written.
#[derive(Debug, Default)]
pub(super) struct Output {
    body: Option<(ResponseBody, Framing)>,
    pending: VecDeque<Bytes>,
    pending_bytes: usize,
    reservation: Option<Reservation>,
    /// Whether the connection ends when all pending bytes are written.
    is_last: bool,
    is_blocked: bool,
}

impl Output {
    /// Returns whether nothing is to be written.
    pub(super) fn is_empty(&self) -> bool {
        self.body.is_none() && self.pending.is_empty()
    }

    /// Returns whether the connection ends after what is to be written.
    pub(super) const fn is_last(&self) -> bool {
        self.is_last
    }

    /// Returns whether the client doesn't read what is to be written.
    pub(super) const fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Returns whether another response may be framed.
    pub(super) const fn may_begin(&self) -> bool {
        self.body.is_none() && !self.is_last && self.pending_bytes < MAX_PENDING_BYTES
    }

    /// Frames the head of a response; `is_last` says that the connection ends after it.
    pub(super) fn begin(
        &mut self,
        response: Response<ResponseBody>,
        details: Details,
        is_last: bool,
    ) {
        self.is_last = is_last;
        let (parts, body) = response.into_parts();
        if parts.status.is_informational() {
            // The client would take the next response for the response to this request.
            self.is_last = true;
            return;
        }
        let framing = framing(parts.status, details.is_head, &body.size_hint());
        let length = body.size_hint().exact();
        let length = length.filter(|length| *length > 0 || !details.is_head);
        let mut head = BytesMut::with_capacity(HEAD_BYTES);
        put_status(&mut head, parts.status);
        put_headers(&mut head, &parts.headers);
        if is_last {
            head.put_slice(b"connection: close\r\n");
        }
        if framing == Framing::Chunked {
            head.put_slice(b"transfer-encoding: chunked\r\n");
        } else if let Some(length) = length.filter(|_| has_length(parts.status)) {
            put_number_header(&mut head, "content-length", length);
        }
        if !parts.headers.contains_key(header::DATE) {
            put_header(&mut head, header::DATE.as_str(), &date::now());
        }
        head.put_slice(b"\r\n");
        self.push(head.freeze());
        self.reservation = details.reservation;
        self.body = (framing != Framing::None).then_some((body, framing));
    }

    /// Frames and writes as much as the client and the body allow.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub(super) fn poll_write(
        &mut self,
        stream: &TcpStream,
        context: &mut Context<'_>,
    ) -> io::Result<()> {
        loop {
            self.poll_body(context);
            if self.pending.is_empty() {
                self.is_blocked = false;
                if self.body.is_none() {
                    self.reservation = None;
                }
                return Ok(());
            }
            match stream.poll_write_ready(context) {
                Poll::Ready(ready) => ready?,
                Poll::Pending => {
                    self.is_blocked = true;
                    return Ok(());
                }
            }
            match self.write(stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => self.advance(written?),
            }
        }
    }

    fn write(&self, stream: &TcpStream) -> io::Result<usize> {
        let mut slices = [io::IoSlice::new(&[]); MAX_SLICES];
        let count = self.pending.len().min(MAX_SLICES);
        for (slice, bytes) in slices.iter_mut().zip(&self.pending) {
            *slice = io::IoSlice::new(bytes);
        }
        let written = stream.try_write_vectored(&slices[..count])?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        Ok(written)
    }

    fn advance(&mut self, mut written: usize) {
        self.pending_bytes -= written;
        while let Some(first) = self.pending.front_mut() {
            if written < first.len() {
                first.advance(written);
                return;
            }
            written -= first.len();
            self.pending.pop_front();
        }
    }

    /// Takes pieces of the body while few bytes are pending.
    fn poll_body(&mut self, context: &mut Context<'_>) {
        while self.pending_bytes < MAX_PENDING_BYTES {
            let Some((body, framing)) = &mut self.body else {
                return;
            };
            let framing = *framing;
            match Pin::new(body).poll_frame(context) {
                Poll::Pending => return,
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.push_data(data, framing);
                    }
                }
                Poll::Ready(Some(Err(_))) => self.break_off(),
                Poll::Ready(None) => self.end_body(framing),
            }
        }
    }

    fn push_data(&mut self, data: Bytes, framing: Framing) {
        // An empty chunk would end the body.
        if data.is_empty() {
            return;
        }
        match framing {
            Framing::Exact(remaining) => {
                let Some(remaining) = remaining.checked_sub(data.len() as u64) else {
                    return self.break_off();
                };
                if let Some((_, framing)) = &mut self.body {
                    *framing = Framing::Exact(remaining);
                }
                self.push(data);
            }
            Framing::Chunked => {
                self.push(Bytes::from(format!("{:x}\r\n", data.len())));
                self.push(data);
                self.push(Bytes::from_static(b"\r\n"));
            }
            Framing::None => {}
        }
    }

    fn end_body(&mut self, framing: Framing) {
        match framing {
            Framing::Exact(remaining) if remaining > 0 => return self.break_off(),
            Framing::Chunked => self.push(Bytes::from_static(b"0\r\n\r\n")),
            Framing::Exact(_) | Framing::None => {}
        }
        self.body = None;
    }

    /// Ends the connection in the middle of a body, by which the client recognizes that the body is truncated.
    fn break_off(&mut self) {
        self.body = None;
        self.is_last = true;
    }

    fn push(&mut self, bytes: Bytes) {
        self.pending_bytes += bytes.len();
        self.pending.push_back(bytes);
    }
}

fn framing(status: StatusCode, is_head: bool, size: &SizeHint) -> Framing {
    if is_head || !has_length(status) {
        return Framing::None;
    }
    size.exact().map_or(Framing::Chunked, Framing::Exact)
}

/// Returns whether responses with this status name the length of their body.
const fn has_length(status: StatusCode) -> bool {
    !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn put_status(head: &mut BytesMut, status: StatusCode) {
    head.put_slice(b"HTTP/1.1 ");
    head.put_slice(status.as_str().as_bytes());
    head.put_slice(b" ");
    let reason = status.canonical_reason().unwrap_or("<none>");
    head.put_slice(reason.as_bytes());
    head.put_slice(b"\r\n");
}

/// Writes all headers but those that apply to the connection, which this module sets itself.
fn put_headers(head: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if !matches!(
            *name,
            header::CONNECTION | header::CONTENT_LENGTH | header::TRANSFER_ENCODING
        ) {
            put_header(head, name.as_str(), value);
        }
    }
}

fn put_header(head: &mut BytesMut, name: &str, value: &HeaderValue) {
    head.put_slice(name.as_bytes());
    head.put_slice(b": ");
    head.put_slice(value.as_bytes());
    head.put_slice(b"\r\n");
}

fn put_number_header(head: &mut BytesMut, name: &str, number: u64) {
    put_header(head, name, &HeaderValue::from(number));
}
