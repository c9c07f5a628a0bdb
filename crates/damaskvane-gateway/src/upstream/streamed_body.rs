//! The body of a response that is streamed to a client.

use core::task::{Context, Poll};
use std::io;

use bytes::Bytes;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Pieces of a body as they arrive. An error closes the client's connection, so that a truncated response never looks
/// complete.
#[derive(Debug)]
pub struct StreamedBody {
    pieces: mpsc::Receiver<io::Result<Bytes>>,
    /// Bytes that are still to come; `None` if the server has named no length.
    remaining_bytes: Option<u64>,
}

impl StreamedBody {
    /// Creates a body from its pieces and the length that the server has named.
    pub(super) const fn new(
        pieces: mpsc::Receiver<io::Result<Bytes>>,
        length: Option<u64>,
    ) -> Self {
        Self {
            pieces,
            remaining_bytes: length,
        }
    }

    pub(super) const fn remaining_bytes(&self) -> Option<u64> {
        self.remaining_bytes
    }

    pub(super) fn poll_piece(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let polled = self.pieces.poll_recv(context);
        if let (Poll::Ready(Some(Ok(piece))), Some(remaining)) =
            (&polled, &mut self.remaining_bytes)
        {
            *remaining = remaining.saturating_sub(piece.len() as u64);
        }
        polled.map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}
