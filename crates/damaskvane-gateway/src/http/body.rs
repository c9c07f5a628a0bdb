//! The body of an answer, piece by piece.

use bytes::{Buf, Bytes, BytesMut};

/// How a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// After so many bytes.
    Length(u64),
    /// With an empty chunk.
    Chunked,
    /// With the connection.
    UntilClose,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailers,
}

/// Takes a body off a buffer.
#[derive(Debug)]
pub struct BodyReader {
    kind: BodyKind,
    left: u64,
    chunk: ChunkState,
    is_done: bool,
}

/// What the buffer holds of the body.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// Some bytes.
    Data(Bytes),
    /// The end.
    End,
    /// Nothing yet.
    NeedsMore,
}

/// The longest line of chunk framing.
const MOST_LINE_BYTES: usize = 1_024;

/// The framing of a body is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedBody;

impl BodyReader {
    /// A reader at the start of a body.
    #[must_use]
    pub const fn new(kind: BodyKind) -> Self {
        let left = match kind {
            BodyKind::Length(length) => length,
            BodyKind::Chunked | BodyKind::UntilClose => 0,
        };
        Self {
            kind,
            left,
            chunk: ChunkState::Size,
            is_done: false,
        }
    }

    /// Whether the end of the connection, now, ends the body as it should.
    #[must_use]
    pub const fn may_end_by_close(&self) -> bool {
        matches!(self.kind, BodyKind::UntilClose)
    }

    /// Takes what the buffer holds of the body.
    ///
    /// # Errors
    ///
    /// Fails if the framing is broken.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Piece, MalformedBody> {
        if self.is_done {
            return Ok(Piece::End);
        }
        match self.kind {
            BodyKind::Length(_) => {
                if self.left == 0 {
                    self.is_done = true;
                    return Ok(Piece::End);
                }
                Ok(take_up_to(&mut self.left, buffer))
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
                        ChunkState::Trailers
                    } else {
                        ChunkState::Data(size)
                    };
                }
                ChunkState::Data(left) => {
                    let piece = take_up_to(left, buffer);
                    if *left == 0 {
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
                ChunkState::Trailers => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(Piece::NeedsMore);
                    };
                    if line.is_empty() {
                        self.is_done = true;
                        return Ok(Piece::End);
                    }
                }
            }
        }
    }
}

fn take_up_to(left: &mut u64, buffer: &mut BytesMut) -> Piece {
    if buffer.is_empty() {
        return Piece::NeedsMore;
    }
    let length = usize::try_from(*left).map_or(buffer.len(), |left| left.min(buffer.len()));
    *left -= length as u64;
    Piece::Data(buffer.split_to(length).freeze())
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, MalformedBody> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > MOST_LINE_BYTES {
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
    if digits.remaining() == 0 {
        return Err(MalformedBody);
    }
    u64::from_str_radix(text.trim(), 16).map_err(|_| MalformedBody)
}
