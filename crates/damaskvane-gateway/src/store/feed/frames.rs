//! Messages of the relay stream and their wire format.
//!
//! Over a relay stream one instance, the relay, sends the store's changes to another instance, the subscriber. A
//! collection is the set of the store's objects of one kind.

use std::io;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::adapter::Collection;
use crate::store::FOLLOWED_COLLECTIONS;
use crate::store::feed::IDLE_TIMEOUT;

/// Identifies the protocol and its version in the first message of a stream.
pub(super) const MAGIC: u32 = 0x6476_6636;
/// Maximum size of a frame in bytes, before and after compression. A list of changes is at most 1 MB.
const MAX_FRAME_BYTES: u32 = 32 << 20;
/// Minimum size in bytes of a frame that is compressed. Server lists are most of the relay traffic between zones and
/// shrink to a fraction.
const MIN_COMPRESSED_BYTES: usize = 2_048;
/// Bit of the length prefix that is set if the frame is compressed.
const COMPRESSED_FLAG: u32 = 1 << 31;

/// First message of a subscriber: the last revision of each collection that the subscriber has applied.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) magic: u32,
    pub(super) revisions: [u64; FOLLOWED_COLLECTIONS.len()],
    /// First number that the source echoes, as in [`Echo`].
    pub(super) echo: Echo,
}

/// A number that a subscriber sends, and that its source returns with the next report of an age.
///
/// The subscriber counts the age from the moment at which it sent the number: how long a report was on its way can't be
/// known otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Echo(pub(super) u32);

/// Proof that the sender's configuration was the newest one, as far as the recipient has received it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct EvidenceFrame {
    pub(super) revision: u64,
    pub(super) age_ms: u64,
}

/// A message from a relay to a subscriber.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Frame {
    /// Reports the time since the store's last response, in milliseconds.
    Alive {
        store_age_ms: u64,
        /// Key of the incarnation (one start of an instance's process) that received this response; `None` if no
        /// response is known.
        answered: Option<u64>,
        /// The last number that the subscriber sent.
        echo: Echo,
        /// Proof that the configuration is the newest one; `None` if the sender has none.
        evidence: Option<EvidenceFrame>,
    },
    /// Changes of a collection.
    Changes {
        collection: u8,
        from: u64,
        to: u64,
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// A whole collection, for a subscriber that lacks more changes than the relay retains.
    Listing {
        collection: u8,
        revision: u64,
        pages: Vec<serde_bytes::ByteBuf>,
        changes: Vec<serde_bytes::ByteBuf>,
    },
    /// The relay no longer has the changes that the subscriber lacks.
    Gone { collection: u8 },
}

pub(super) fn to_wire(bodies: &[Bytes]) -> Vec<serde_bytes::ByteBuf> {
    bodies.iter().map(|body| body.to_vec().into()).collect()
}

pub(super) fn from_wire(bodies: Vec<serde_bytes::ByteBuf>) -> Vec<Bytes> {
    let bodies = bodies.into_iter();
    bodies.map(|body| Bytes::from(body.into_vec())).collect()
}

pub(super) fn collection_of(number: u8) -> io::Result<Collection> {
    let found = FOLLOWED_COLLECTIONS.get(usize::from(number)).copied();
    found.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

pub(super) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> io::Result<T> {
    postcard::from_bytes(bytes).map_err(|_| io::ErrorKind::InvalidData.into())
}

pub(super) async fn read_frame(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Vec<u8>> {
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
pub(super) async fn send(
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
    // A subscriber that does not read for this time is taken to have stopped.
    tokio::time::timeout(IDLE_TIMEOUT, stream.write_all(&bytes)).await??;
    Ok(bytes.len())
}
