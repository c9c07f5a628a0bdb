//! Bounds the time in which a client sends the head of a request.
//!
//! The HTTP library has one time-out for the head and for the silence before it. Clients may stay silent on
//! a kept connection far longer than they may take for a head; with the long bound alone, clients that
//! begin a request and never finish it would hold their connections that long.

use core::pin::Pin;
use core::task::{Context, Poll};
use core::time::Duration;
use std::cell::Cell;
use std::io;
use std::rc::Rc;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// When the head that is being read has begun.
#[derive(Debug, Default)]
pub(super) struct HeadTimer {
    begun_at: Cell<Option<Instant>>,
    is_in_request: Cell<bool>,
    begun: Notify,
}

impl HeadTimer {
    /// The head is whole, and the request is at work.
    pub(super) fn request_begins(&self) {
        self.is_in_request.set(true);
        self.begun_at.set(None);
    }

    /// The request is answered.
    pub(super) fn request_ends(&self) {
        self.is_in_request.set(false);
    }

    /// Returns once a head has taken longer than the time-out.
    pub(super) async fn expired(&self, timeout: Duration) {
        loop {
            self.begun.notified().await;
            while let Some(begun_at) = self.begun_at.get() {
                let due = begun_at + timeout;
                if Instant::now() >= due {
                    return;
                }
                tokio::time::sleep_until(due).await;
            }
        }
    }

    fn bytes_came(&self) {
        if !self.is_in_request.get() && self.begun_at.get().is_none() {
            self.begun_at.set(Some(Instant::now()));
            self.begun.notify_one();
        }
    }
}

/// A client's connection that tells the timer when bytes come.
#[derive(Debug)]
pub(super) struct TimedStream {
    stream: TcpStream,
    timer: Rc<HeadTimer>,
}

impl TimedStream {
    pub(super) const fn new(stream: TcpStream, timer: Rc<HeadTimer>) -> Self {
        Self { stream, timer }
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.timer.bytes_came();
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
