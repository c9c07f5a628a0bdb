//! Incremental decoding of a response body.

use bytes::{Bytes, BytesMut};

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// The body ends after this number of bytes (`Content-Length`).
    Length(u64),
    /// The body is sent in chunks and ends with an empty chunk.
    Chunked,
    /// The body ends when the sender closes the connection.
    UntilClose,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    /// The lines after the last chunk, of which this many bytes may still come.
    Trailers(usize),
}

/// Decodes one body from a read buffer.
#[derive(Debug)]
pub struct BodyReader {
    kind: BodyKind,
    remaining: u64,
    chunk: ChunkState,
    is_done: bool,
}

/// The result of one decoding step.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// The next bytes of the body, without chunk framing.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The buffer holds no further bytes of the body; more have to be read from the connection.
    NeedsMore,
}

/// Maximum length of a line of chunk framing, in bytes.
const MAX_LINE_BYTES: usize = 1_024;

/// Maximum length of the trailer of a body, in bytes. Nobody reads it, and a server could send it without end.
const MAX_TRAILER_BYTES: usize = 16_384;

/// The error for a body with invalid chunk framing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedBody;

impl BodyKind {
    /// Returns the length in bytes that the head has named; `None` if the body has another end.
    #[must_use]
    pub const fn length(self) -> Option<u64> {
        match self {
            Self::Length(length) => Some(length),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

impl BodyReader {
    /// Creates a reader for a body of which nothing has been read.
    #[must_use]
    pub const fn new(kind: BodyKind) -> Self {
        let remaining = match kind {
            BodyKind::Length(length) => length,
            BodyKind::Chunked | BodyKind::UntilClose => 0,
        };
        Self {
            kind,
            remaining,
            chunk: ChunkState::Size,
            is_done: false,
        }
    }

    /// Returns whether the body is complete when the sender closes the connection.
    #[must_use]
    pub const fn may_end_by_close(&self) -> bool {
        matches!(self.kind, BodyKind::UntilClose)
    }

    /// Removes the next bytes of the body from the front of `buffer` and returns them.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedBody`] if the chunk framing is invalid.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Piece, MalformedBody> {
        if self.is_done {
            return Ok(Piece::End);
        }
        match self.kind {
            BodyKind::Length(_) => {
                if self.remaining == 0 {
                    self.is_done = true;
                    return Ok(Piece::End);
                }
                Ok(take_up_to(&mut self.remaining, buffer))
            }
            BodyKind::UntilClose if buffer.is_empty() => Ok(Piece::NeedsMore),
            BodyKind::UntilClose => Ok(Piece::Data(buffer.split().freeze())),
            BodyKind::Chunked => self.take_chunked(buffer),
        }
    }

    fn take_chunked(&mut self, buffer: &mut BytesMut) -> Result<Piece, MalformedBody> {
        loop {
            match &mut self.chunk {
                ChunkState::Size => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(Piece::NeedsMore);
                    };
                    let size = chunk_size(&line)?;
                    self.chunk = if size == 0 {
                        ChunkState::Trailers(MAX_TRAILER_BYTES)
                    } else {
                        ChunkState::Data(size)
                    };
                }
                ChunkState::Data(remaining) => {
                    let piece = take_up_to(remaining, buffer);
                    if *remaining == 0 {
                        self.chunk = ChunkState::DataEnd;
                    }
                    return Ok(piece);
                }
                ChunkState::DataEnd => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(Piece::NeedsMore);
                    };
                    if !line.is_empty() {
                        return Err(MalformedBody);
                    }
                    self.chunk = ChunkState::Size;
                }
                ChunkState::Trailers(remaining) => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(Piece::NeedsMore);
                    };
                    if line.is_empty() {
                        self.is_done = true;
                        return Ok(Piece::End);
                    }
                    *remaining = remaining.checked_sub(line.len()).ok_or(MalformedBody)?;
                }
            }
        }
    }
}

fn take_up_to(remaining: &mut u64, buffer: &mut BytesMut) -> Piece {
    if buffer.is_empty() {
        return Piece::NeedsMore;
    }
    let length =
        usize::try_from(*remaining).map_or(buffer.len(), |remaining| remaining.min(buffer.len()));
    *remaining -= length as u64;
    Piece::Data(buffer.split_to(length).freeze())
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, MalformedBody> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > MAX_LINE_BYTES {
            Err(MalformedBody)
        } else {
            Ok(None)
        };
    };
    let mut line = buffer.split_to(end + 1).freeze();
    line.truncate(end);
    if line.last() == Some(&b'\r') {
        line.truncate(line.len() - 1);
    }
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, MalformedBody> {
    let mut digits = line;
    if let Some(extension) = digits.iter().position(|byte| *byte == b';') {
        digits = &digits[..extension];
    }
    let text = std::str::from_utf8(digits).map_err(|_| MalformedBody)?;
    let text = text.trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(MalformedBody);
    }
    u64::from_str_radix(text, 16).map_err(|_| MalformedBody)
}
