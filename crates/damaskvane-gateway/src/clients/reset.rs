//! Resets a client's connection whose last response is truncated.
//!
//! A client of HTTP/1.0 finds the end of a long body by the end of its connection: after an ordinary close it would take
//! a truncated body for the whole one.

use core::time::Duration;
use std::cell::Cell;

use tokio::net::TcpStream;

/// Whether a connection is reset when it is closed. Bytes that the client has not received yet are lost then.
#[derive(Debug, Default)]
pub(super) struct ResetOnClose(Cell<bool>);

impl ResetOnClose {
    /// Has the connection reset at its end.
    pub(super) fn set(&self) {
        self.0.set(true);
    }

    /// Prepares the stream, which is about to be closed.
    pub(super) fn apply(&self, stream: &TcpStream) {
        if self.0.get() {
            // Setting the option fails only on a connection that is already broken.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}
