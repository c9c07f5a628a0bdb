//! An answer on its way to a client.

use core::pin::Pin;
use core::task::{Context, Poll};
use std::io;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::HeaderMap;
use tokio::sync::mpsc;

/// The body of an answer: whole, or arriving.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it; taken when it is sent.
    Whole(Option<Bytes>),
    /// Pieces as they come. An error breaks the client's connection off, so that a cut answer never looks
    /// complete.
    Arriving(mpsc::Receiver<io::Result<Bytes>>),
}

impl ResponseBody {
    /// A body that is there as a whole.
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
            Self::Arriving(pieces) => {
                let piece = pieces.poll_recv(context);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Arriving(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Arriving(_) => SizeHint::default(),
        }
    }
}

/// What a backend server made of a request.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers, without those that concern one connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: ResponseBody,
}
