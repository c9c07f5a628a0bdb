//! Reads a client's body within its bounds.

use core::pin::Pin;
use std::future;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};

/// Why a body wasn't read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyError {
    /// It is longer than the limit.
    TooLarge,
    /// The client broke off or its framing is wrong.
    Broken,
}

/// Reads a whole body; `None` where the client announced none.
pub(super) async fn read(
    mut body: Incoming,
    most_bytes: usize,
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
            whole.extend_from_slice(&data);
        }
    }
}
