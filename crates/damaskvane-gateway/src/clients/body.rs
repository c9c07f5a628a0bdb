//! Reads a client's body within its bounds.

use core::pin::Pin;
use std::future;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};

use crate::node::Node;

/// Why a body wasn't read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyError {
    /// It is longer than the limit.
    TooLarge,
    /// The client broke off or its framing is wrong.
    Broken,
    /// The bodies of all requests at work fill the memory set aside for them.
    NoRoom,
}

/// The part of the process's memory that bodies of requests may fill. A process above its limit is killed with
/// everything that it has at work.
const MEMORY_SHARE: u64 = 4;

/// Counts the bytes of one body as held until it is dropped.
#[derive(Debug)]
pub(super) struct HeldBytes {
    node: Rc<Node>,
    bytes: usize,
}

impl HeldBytes {
    pub(super) fn new(node: &Rc<Node>) -> Self {
        Self {
            node: Rc::clone(node),
            bytes: 0,
        }
    }

    fn add(&mut self, bytes: usize) -> Result<(), BodyError> {
        let most = self.node.settings().memory_mb * (1 << 20) / MEMORY_SHARE;
        let held = self.node.held_bytes.get() + bytes;
        if held as u64 > most {
            return Err(BodyError::NoRoom);
        }
        self.node.held_bytes.set(held);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let held = &self.node.held_bytes;
        held.set(held.get().saturating_sub(self.bytes));
    }
}

/// Reads a whole body; `None` where the client announced none.
pub(super) async fn read(
    mut body: Incoming,
    most_bytes: usize,
    held: &mut HeldBytes,
) -> Result<Option<Bytes>, BodyError> {
    if body.is_end_stream() && body.size_hint().exact() == Some(0) {
        return Ok(None);
    }
    let announced = body.size_hint().lower();
    if usize::try_from(announced).map_or(true, |announced| announced > most_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut whole = BytesMut::new();
    loop {
        let frame = future::poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await;
        let Some(frame) = frame else {
            return Ok(Some(whole.freeze()));
        };
        let frame = frame.map_err(|_| BodyError::Broken)?;
        if let Ok(data) = frame.into_data() {
            if whole.len() + data.len() > most_bytes {
                return Err(BodyError::TooLarge);
            }
            held.add(data.len())?;
            whole.extend_from_slice(&data);
        }
    }
}
