//! Timeout for the head of a client's request.
//!
//! The HTTP library has a single timeout for the arrival of a head and for the idle time of the connection
//! before the head. Clients may leave a connection idle far longer than they may take to send a head. With
//! the idle timeout for both, clients that begin a request and never finish it would occupy their connections
//! for the whole idle timeout.

use core::pin::Pin;
use core::task::{Context, Poll};
use core::time::Duration;
use std::cell::Cell;
use std::io;
use std::rc::Rc;

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clients::reset::ResetOnClose;

/// Measures how long the head of the current request has been arriving on one connection.
#[derive(Debug, Default)]
pub(super) struct HeadTimer {
    started_at: Cell<Option<Instant>>,
    is_in_request: Cell<bool>,
    started: Notify,
}

impl HeadTimer {
    /// Stops the timer: the head is complete, and the request is being handled.
    pub(super) fn request_started(&self) {
        self.is_in_request.set(true);
        self.started_at.set(None);
    }

    /// Records that the response is ready; the next received bytes start the timer again.
    pub(super) fn request_finished(&self) {
        self.is_in_request.set(false);
    }

    /// Waits until a head has been incomplete for `timeout` since its first bytes arrived.
    pub(super) async fn expired(&self, timeout: Duration) {
        loop {
            self.started.notified().await;
            while let Some(started_at) = self.started_at.get() {
                let due = started_at + timeout;
                if Instant::now() >= due {
                    return;
                }
                tokio::time::sleep_until(due).await;
            }
        }
    }

    fn bytes_received(&self) {
        if !self.is_in_request.get() && self.started_at.get().is_none() {
            self.started_at.set(Some(Instant::now()));
            self.started.notify_one();
        }
    }
}

/// A client's connection that starts the timer when the first bytes of a request arrive.
#[derive(Debug)]
pub(super) struct TimedStream {
    stream: TcpStream,
    /// Bytes that were read from the stream before, and come first.
    unread: Bytes,
    timer: Rc<HeadTimer>,
    reset: Rc<ResetOnClose>,
}

impl TimedStream {
    pub(super) const fn new(
        stream: TcpStream,
        unread: Bytes,
        timer: Rc<HeadTimer>,
        reset: Rc<ResetOnClose>,
    ) -> Self {
        Self {
            stream,
            unread,
            timer,
            reset,
        }
    }
}

impl Drop for TimedStream {
    fn drop(&mut self) {
        self.reset.apply(&self.stream);
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            let length = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread[..length]);
            self.unread.advance(length);
            self.timer.bytes_received();
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.timer.bytes_received();
        }
        polled
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
