//! The messages of the stream and their form on the wire.

use std::io;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::adapter::Collection;
use crate::store::FOLLOWED_COLLECTIONS;
use crate::store::feed::SILENCE;

/// Tells the protocol from others on the port, and its form from later ones.
pub(super) const MAGIC: u32 = 0x6476_6635;
/// Largest frame, as it is and compressed: a list of changes is a megabyte at most.
const MOST_BYTES: u32 = 32 << 20;
/// From this size on a frame is compressed: lists of servers are most of what goes between zones to hand changes on,
/// and shrink to a fraction.
const COMPRESSED_FROM_BYTES: usize = 2_048;
/// Marks a compressed frame in the number that holds its length.
const COMPRESSED: u32 = 1 << 31;

/// What a listener says once: the revisions that it is at.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) magic: u32,
    pub(super) revisions: [u64; FOLLOWED_COLLECTIONS.len()],
}

/// What a relay says.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Frame {
    /// The store has answered an instance so long ago.
    Alive {
        store_age_ms: u64,
        /// The key of that start of the instance; none if the store never answered.
        answered: Option<u64>,
    },
    /// Changes of a collection.
    Changes {
        collection: u8,
        from: u64,
        to: u64,
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// A whole collection, for a listener that lacks more than the changes that are kept.
    Listing {
        collection: u8,
        revision: u64,
        pages: Vec<serde_bytes::ByteBuf>,
        changes: Vec<serde_bytes::ByteBuf>,
    },
    /// What the listener lacks of a collection is no longer known.
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

pub(super) async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let head = stream.read_u32().await?;
    let length = head & !COMPRESSED;
    if length > MOST_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    if head & COMPRESSED == 0 {
        return Ok(bytes);
    }
    decompress(&bytes)
}

fn decompress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let (length, body) = bytes.split_first_chunk().ok_or_else(invalid)?;
    let length = u32::from_le_bytes(*length);
    // A frame that claims to be larger than any would take the memory of a small machine.
    if length > MOST_BYTES {
        return Err(invalid());
    }
    lz4_flex::block::decompress(body, length as usize).map_err(|_| invalid())
}

/// Sends a frame; returns its bytes.
pub(super) async fn send(stream: &mut TcpStream, message: &impl Serialize) -> io::Result<usize> {
    let body = postcard::to_allocvec(message).map_err(io::Error::other)?;
    let (body, mark) = if body.len() < COMPRESSED_FROM_BYTES {
        (body, 0)
    } else {
        (lz4_flex::block::compress_prepend_size(&body), COMPRESSED)
    };
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut bytes = (length | mark).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    // A listener that takes nothing for so long is stopped or gone.
    tokio::time::timeout(SILENCE, stream.write_all(&bytes)).await??;
    Ok(bytes.len())
}
