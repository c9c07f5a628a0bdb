//! Reading of request bodies, with a limit on the size of one body and on the memory for all bodies.

use core::pin::Pin;
use core::time::Duration;
use std::future;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use hyper::body::Body;
use hyper::{Response, StatusCode};

use crate::clients::reply;
use crate::node::Node;
use crate::upstream::ResponseBody;

/// Why a request body was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyError {
    /// The body is longer than the configured limit.
    TooLarge,
    /// The client closed the connection or the body's framing is invalid.
    Broken,
    /// The bodies of all requests in progress fill the memory reserved for bodies.
    MemoryExhausted,
    /// The body was not complete at the request's deadline.
    Late,
}

/// Retry delay sent to a client whose body finds no memory, in milliseconds.
const MEMORY_RETRY_AFTER_MS: u64 = 500;

impl BodyError {
    /// Returns the label for logs and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "body_too_large",
            Self::Broken => "body_broken",
            Self::MemoryExhausted => "no_memory",
            Self::Late => "slow_body",
        }
    }

    /// Returns the response to the client.
    pub(super) fn response(self) -> Response<ResponseBody> {
        match self {
            Self::TooLarge => {
                reply::from_instance(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")
            }
            Self::Broken => reply::from_instance(StatusCode::BAD_REQUEST, "the body is broken\n"),
            Self::MemoryExhausted => reply::not_run(
                "too many long requests are at work\n",
                MEMORY_RETRY_AFTER_MS,
            ),
            Self::Late => reply::not_run("the body did not arrive in time\n", 0),
        }
    }
}

/// The bodies of all requests in progress may together fill the process's memory limit divided by this
/// number. A process above its memory limit is killed, and all its requests in progress are lost.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// Guard that counts the bytes of one body in `buffered_body_bytes` of the node, which holds the state of
/// this instance, and subtracts them when dropped.
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
        let max_held = self.node.settings().memory_mb * (1 << 20) / BODY_MEMORY_DIVISOR;
        let held = self.node.buffered_body_bytes.get() + bytes;
        if held as u64 > max_held {
            return Err(BodyError::MemoryExhausted);
        }
        self.node.buffered_body_bytes.set(held);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let held = &self.node.buffered_body_bytes;
        held.set(held.get().saturating_sub(self.bytes));
    }
}

/// Reads a complete body as [`read`] does, within `timeout`.
pub(super) async fn read_within(
    timeout: Duration,
    body: impl Body<Data = Bytes> + Unpin,
    max_bytes: usize,
    held: &mut HeldBytes,
) -> Result<Option<Bytes>, BodyError> {
    let reading = read(body, max_bytes, held);
    let read = tokio::time::timeout(timeout, reading).await;
    read.unwrap_or(Err(BodyError::Late))
}

/// Reads a complete body of at most `max_bytes` and counts its bytes in `held`; returns `None` if the client
/// announced no body.
async fn read(
    mut body: impl Body<Data = Bytes> + Unpin,
    max_bytes: usize,
    held: &mut HeldBytes,
) -> Result<Option<Bytes>, BodyError> {
    if body.is_end_stream() && body.size_hint().exact() == Some(0) {
        return Ok(None);
    }
    let announced = body.size_hint().lower();
    if usize::try_from(announced).map_or(true, |announced| announced > max_bytes) {
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
            if whole.len() + data.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            held.add(data.len())?;
            whole.extend_from_slice(&data);
        }
    }
}
