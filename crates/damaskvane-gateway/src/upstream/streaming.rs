//! Streaming of response bodies that are too long to be buffered.

use core::time::Duration;
use std::io;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::http::{self, BodyReader, ReadError};
use crate::upstream::StreamedBody;

/// Maximum number of pieces of a long response body that are queued for the client.
const MAX_QUEUED_PIECES: usize = 4;

/// Time after the request's deadline for which a body is still streamed: it may be about to end.
const GRACE: Duration = Duration::from_millis(250);
/// Time that a server gets for the next piece of a body after that. A client that reads slowly still gets what its server
/// has ready.
const STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Streams a long body to the client piece by piece; the connection is closed afterwards.
///
/// A server may stop in the middle, or send without end. From a moment after the request's deadline on, which is
/// `remaining` away, the body is cut if its server stalls, and in any case if it has no length.
pub(super) fn stream_body(
    connection: http::Connection,
    body: BodyReader,
    first: Bytes,
    remaining: Duration,
    length: Option<u64>,
) -> StreamedBody {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
    let deadline = Instant::now() + remaining + GRACE;
    tokio::task::spawn_local(async move {
        let streaming = stream(connection, body, first, deadline, &sender);
        let is_whole = if length.is_some() {
            streaming.await.is_ok()
        } else {
            let streamed = tokio::time::timeout_at(deadline, streaming).await;
            matches!(streamed, Ok(Ok(())))
        };
        if !is_whole {
            let cut = io::Error::from(io::ErrorKind::UnexpectedEof);
            // The channel may be full of pieces that the client doesn't read; its end without the error would look whole.
            let _ = sender.send(Err(cut)).await;
        }
    });
    StreamedBody::new(receiver, length)
}

async fn stream(
    mut connection: http::Connection,
    mut body: BodyReader,
    first: Bytes,
    deadline: Instant,
    sender: &mpsc::Sender<io::Result<Bytes>>,
) -> Result<(), ReadError> {
    let mut next = Some(first);
    while let Some(piece) = next {
        // The client has disconnected: returning drops the connection, so that the server can stop the request.
        if sender.send(Ok(piece)).await.is_err() {
            return Ok(());
        }
        let stalled_at = deadline.max(Instant::now() + STALL_TIMEOUT);
        let read = tokio::time::timeout_at(stalled_at, connection.read_piece(&mut body)).await;
        next = read.map_err(|_| ReadError::Late)??;
    }
    Ok(())
}
