//! The bytes that were received from a client and belong to no request yet.

use core::pin::pin;
use core::task::{Context, Poll, ready};
use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;

use crate::clients::pipeline::head::ParsedHead;

/// Number of bytes by which the buffer grows for a read.
const READ_BYTES: usize = 4_096;
/// The end of a head is found even if it begins this many bytes before those that arrived last.
const TERMINATOR_OVERLAP_BYTES: usize = 3;

/// A read buffer of limited size. It takes no memory while it is empty.
#[derive(Debug)]
pub(super) struct Input {
    buffer: BytesMut,
    /// Number of bytes at the front that are known to hold no complete head.
    scanned: usize,
    max_bytes: usize,
}

impl Input {
    /// Creates an empty buffer that takes at most `max_bytes`.
    pub(super) fn new(max_bytes: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            scanned: 0,
            max_bytes,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes all bytes out of the buffer.
    pub(super) fn take_all(&mut self) -> Bytes {
        self.scanned = 0;
        core::mem::take(&mut self.buffer).freeze()
    }

    /// Reads once; returns the number of bytes, 0 if the client has closed the connection.
    ///
    /// The buffer must not be full, which [`Self::next_head`] reports as [`ParsedHead::Other`].
    pub(super) fn poll_read(
        &mut self,
        stream: &mut ReadHalf<'_>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        // Nothing is allocated while nothing has arrived.
        ready!(stream.as_ref().poll_read_ready(context))?;
        let room = self.max_bytes.saturating_sub(self.buffer.len());
        self.buffer.reserve(room.min(READ_BYTES));
        let mut limited = (&mut self.buffer).limit(room);
        let read = pin!(stream.read_buf(&mut limited)).poll(context);
        if read.is_pending() {
            self.release();
        }
        read
    }

    /// Takes the next head. One that doesn't fit into the buffer is [`ParsedHead::Other`].
    pub(super) fn next_head(&mut self) -> ParsedHead {
        if self.buffer.is_empty() {
            return ParsedHead::Partial;
        }
        let parsed = if self.scanned > 0 && !self.has_terminator() {
            ParsedHead::Partial
        } else {
            ParsedHead::take(&mut self.buffer)
        };
        match parsed {
            ParsedHead::Partial if self.buffer.len() >= self.max_bytes => ParsedHead::Other,
            ParsedHead::Partial => {
                self.scanned = self.buffer.len();
                ParsedHead::Partial
            }
            parsed => {
                self.scanned = 0;
                self.release();
                parsed
            }
        }
    }

    /// Returns whether an empty line, which ends a head, is among the bytes that were not scanned. Parsing a head that
    /// arrives byte by byte at each byte would take time that grows with the square of its length.
    fn has_terminator(&self) -> bool {
        let new = &self.buffer[self.scanned.saturating_sub(TERMINATOR_OVERLAP_BYTES)..];
        new.windows(2).any(|pair| pair == b"\n\n") || new.windows(3).any(|end| end == b"\n\r\n")
    }

    fn release(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }
}
