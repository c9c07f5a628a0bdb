//! Length-prefixed frames on TCP streams between instances.

use core::time::Duration;
use std::io;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum size of a frame in bytes, before and after compression. A list of changes is at most 1 MB.
const MAX_FRAME_BYTES: u32 = 32 << 20;
/// Minimum size in bytes of a frame that is compressed. Server lists are most of the relay traffic between zones and
/// shrink to a fraction.
const MIN_COMPRESSED_BYTES: usize = 2_048;
/// Bit of the length prefix that is set if the frame is compressed.
const COMPRESSED_FLAG: u32 = 1 << 31;
/// Time after which an instance that doesn't read is taken to have stopped.
const WRITE_TIMEOUT: Duration = Duration::from_millis(600);

pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> io::Result<T> {
    postcard::from_bytes(bytes).map_err(|_| io::ErrorKind::InvalidData.into())
}

/// Returns the number with which a message begins, which identifies its protocol and version.
pub(crate) fn magic_of(bytes: &[u8]) -> io::Result<u32> {
    let taken = postcard::take_from_bytes::<u32>(bytes);
    let (magic, _) = taken.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    Ok(magic)
}

pub(crate) async fn read(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
    let head = stream.read_u32().await?;
    let length = head & !COMPRESSED_FLAG;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    if head & COMPRESSED_FLAG == 0 {
        return Ok(bytes);
    }
    decompress(&bytes)
}

fn decompress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let (length, body) = bytes.split_first_chunk().ok_or_else(invalid)?;
    let length = u32::from_le_bytes(*length);
    // The declared length is the size of the buffer that is allocated. A wrong length would use up the memory of a
    // small machine.
    if length > MAX_FRAME_BYTES {
        return Err(invalid());
    }
    lz4_flex::block::decompress(body, length as usize).map_err(|_| invalid())
}

/// Sends a message as one frame and returns the number of bytes sent.
pub(crate) async fn send(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &impl Serialize,
) -> io::Result<usize> {
    let body = postcard::to_allocvec(message).map_err(io::Error::other)?;
    let (body, flag) = if body.len() < MIN_COMPRESSED_BYTES {
        (body, 0)
    } else {
        (
            lz4_flex::block::compress_prepend_size(&body),
            COMPRESSED_FLAG,
        )
    };
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut bytes = (length | flag).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await??;
    Ok(bytes.len())
}
