//! Streaming of response bodies that are too long to be buffered.

use std::io;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::http::{self, BodyReader};

/// Maximum number of pieces of a long response body that are queued for the client.
const MAX_QUEUED_PIECES: usize = 4;

/// Streams a long body to the client piece by piece; the connection is closed afterwards.
pub(super) fn stream_body(
    mut connection: http::Connection,
    mut body: BodyReader,
    first: Bytes,
) -> mpsc::Receiver<io::Result<Bytes>> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
    tokio::task::spawn_local(async move {
        let mut next = Some(first);
        while let Some(piece) = next {
            // The client has disconnected: returning drops the connection, so that the server can stop the
            // request.
            if sender.send(Ok(piece)).await.is_err() {
                return;
            }
            next = match connection.read_piece(&mut body).await {
                Ok(piece) => piece,
                Err(_) => {
                    let cut = io::Error::from(io::ErrorKind::UnexpectedEof);
                    let _ = sender.send(Err(cut)).await;
                    return;
                }
            };
        }
    });
    receiver
}
