//! Streaming of response bodies that are too long to be buffered.

use core::time::Duration;
use std::io;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::http::{self, BodyReader, ReadError};

/// Maximum number of pieces of a long response body that are queued for the client.
const MAX_QUEUED_PIECES: usize = 4;

/// Time after the request's deadline for which a body is still streamed: it may be about to end.
const GRACE: Duration = Duration::from_millis(250);

/// Streams a long body to the client piece by piece; the connection is closed afterwards.
///
/// A server may send without end, or stop in the middle. The body is cut a moment after the request's deadline, which is
/// `remaining` away.
pub(super) fn stream_body(
    connection: http::Connection,
    body: BodyReader,
    first: Bytes,
    remaining: Duration,
) -> mpsc::Receiver<io::Result<Bytes>> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
    tokio::task::spawn_local(async move {
        let streaming = stream(connection, body, first, &sender);
        let streamed = tokio::time::timeout(remaining + GRACE, streaming).await;
        if !matches!(streamed, Ok(Ok(()))) {
            let cut = io::Error::from(io::ErrorKind::UnexpectedEof);
            // The channel may be full of pieces that the client doesn't read; its end without the error would look whole.
            let _ = sender.send(Err(cut)).await;
        }
    });
    receiver
}

async fn stream(
    mut connection: http::Connection,
    mut body: BodyReader,
    first: Bytes,
    sender: &mpsc::Sender<io::Result<Bytes>>,
) -> Result<(), ReadError> {
    let mut next = Some(first);
    while let Some(piece) = next {
        // The client has disconnected: returning drops the connection, so that the server can stop the request.
        if sender.send(Ok(piece)).await.is_err() {
            return Ok(());
        }
        next = connection.read_piece(&mut body).await?;
    }
    Ok(())
}
