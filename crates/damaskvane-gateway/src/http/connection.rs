//! One connection that this instance opened.

use core::mem::MaybeUninit;
use core::time::Duration;
use std::io;
use std::net;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::http::body::{BodyReader, Piece};
use crate::http::head::ResponseHead;

/// The first size of a read buffer: holds most heads with a short body.
const BUFFER_BYTES: usize = 4_096;

/// How long a server that has begun to answer may still take to read the rest of a long request.
const EARLY_PATIENCE: Duration = Duration::from_millis(200);

/// Why no answer could be read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection ended or broke.
    Io(io::Error),
    /// The bytes are no answer in the protocol.
    Malformed,
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// A connection with the bytes that were read and not yet used.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Whether something was sent whose answer has not been read whole.
    is_asking: bool,
}

/// A connection on which an answer is awaited is reset, not closed.
///
/// The kernel goes on sending what an ordinary close leaves unsent, for seconds: a request that was given up
/// in a cut between two zones reached its server 7 s later, when that had long said that it leaves.
impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_asking {
            // Where the option can't be set the connection is broken already.
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Connection {
    /// Opens a connection, within `connect_timeout`.
    ///
    /// After `silence` without a word from the other end's kernel the connection breaks by itself.
    /// Connections can go silent for good without a reset, and a machine behind a partition doesn't
    /// answer; an exchange on such a connection would otherwise hang until its deadline.
    ///
    /// # Errors
    ///
    /// Fails if nobody takes the connection in time.
    pub async fn open(
        address: net::SocketAddr,
        connect_timeout: Duration,
        silence: Duration,
    ) -> io::Result<Self> {
        let opening = TcpStream::connect(address);
        let stream = tokio::time::timeout(connect_timeout, opening)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        bound_silence(&stream, silence)?;
        Ok(Self {
            stream,
            buffer: BytesMut::with_capacity(BUFFER_BYTES),
            is_asking: false,
        })
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.is_asking = true;
        self.stream.write_all(bytes).await
    }

    /// Writes a long request while it listens for an early answer; returns whether all was written.
    ///
    /// A server may answer before it has read the whole body, and go on reading or not. One that doesn't
    /// would block a writer that doesn't listen until the deadline; one that does gets the rest, since other
    /// bytes in its place would be taken for a part of the body.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn write_listening(&mut self, mut bytes: Bytes) -> io::Result<bool> {
        self.is_asking = true;
        let (mut reader, mut writer) = self.stream.split();
        let mut end = None;
        while !bytes.is_empty() {
            let patience = async {
                match end {
                    Some(end) => tokio::time::sleep_until(end).await,
                    None => core::future::pending().await,
                }
            };
            tokio::select! {
                written = writer.write(&bytes) => {
                    let _ = bytes.split_to(written?);
                }
                read = reader.read_buf(&mut self.buffer) => {
                    if read? == 0 {
                        return Ok(false);
                    }
                    end.get_or_insert_with(|| tokio::time::Instant::now() + EARLY_PATIENCE);
                }
                () = patience => return Ok(false),
            }
        }
        Ok(true)
    }

    /// Reads the head of the next answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first or the bytes are no answer.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ReadError> {
        loop {
            let head = ResponseHead::take(&mut self.buffer).map_err(|_| ReadError::Malformed)?;
            if let Some(head) = head {
                return Ok(head);
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }

    /// Reads the next piece of a body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut short or its framing is broken.
    pub async fn read_piece(&mut self, body: &mut BodyReader) -> Result<Option<Bytes>, ReadError> {
        loop {
            match body.take(&mut self.buffer) {
                Ok(Piece::Data(bytes)) => return Ok(Some(bytes)),
                Ok(Piece::End) => return Ok(None),
                Ok(Piece::NeedsMore) => {}
                Err(_) => return Err(ReadError::Malformed),
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                if body.may_end_by_close() {
                    return Ok(None);
                }
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }

    /// Reads a body of at most `most_bytes`; `Err` holds what was read if it is longer.
    ///
    /// # Errors
    ///
    /// As [`Connection::read_piece`].
    pub async fn read_body(
        &mut self,
        body: &mut BodyReader,
        most_bytes: usize,
    ) -> Result<Result<Bytes, Bytes>, ReadError> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.read_piece(body).await? {
            whole.extend_from_slice(&piece);
            if whole.len() > most_bytes {
                return Ok(Err(whole.freeze()));
            }
        }
        self.is_asking = false;
        Ok(Ok(whole.freeze()))
    }

    /// Whether the connection is open with nothing on it that belongs to no request.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        // The event loop may not have seen yet that the other end closed; the kernel has.
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

fn bound_silence(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
