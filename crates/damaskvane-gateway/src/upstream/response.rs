//! The response that is forwarded from a backend server to a client.

use core::pin::Pin;
use core::task::{Context, Poll};
use std::io;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::HeaderMap;

use crate::upstream::streamed_body::StreamedBody;

/// The body of a response to a client: complete, or streamed from the backend server.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body; `None` after it was sent.
    Whole(Option<Bytes>),
    /// Pieces of the body as they arrive.
    Streaming(StreamedBody),
}

impl ResponseBody {
    /// Creates a body from its complete content.
    #[must_use]
    pub const fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) => {
                let frame = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(frame.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Streaming(streamed) => streamed.poll_piece(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Streaming(streamed) => streamed.remaining_bytes() == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streaming(streamed) => streamed
                .remaining_bytes()
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// A backend server's response to a request.
#[derive(Debug)]
pub struct BackendResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those that apply only to the connection with the backend server.
    pub headers: HeaderMap,
    /// The body; complete if it is short, otherwise streamed.
    pub body: ResponseBody,
}
