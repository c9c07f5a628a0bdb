//! A guard that notifies the engine when a client disconnects before its response.
//!
//! ```
//! use damaskvane_entry::inbox;
//!
//! let (sender, receiver) = flume::unbounded();
//! inbox::ClientGuard::new(sender, inbox::RequestNumber::new(7)).disarm();
//! assert!(receiver.is_empty());
//! ```

use damaskvane_engine::event;

use crate::inbox::input;

/// Sends [`event::Event::ClientDisconnected`] to the engine when dropped, unless disarmed.
#[derive(Debug)]
pub struct ClientGuard {
    inbox: Option<flume::Sender<input::Input>>,
    number: event::RequestNumber,
}

impl ClientGuard {
    /// Creates the guard of the request `number`.
    #[must_use]
    pub const fn new(inbox: flume::Sender<input::Input>, number: event::RequestNumber) -> Self {
        Self {
            inbox: Some(inbox),
            number,
        }
    }

    /// Drops the guard without a message to the engine, because the connection's handler has received the request's
    /// outcome.
    pub fn disarm(mut self) {
        self.inbox = None;
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        if let Some(inbox) = self.inbox.take() {
            let _ = inbox.send(input::Input::Event(event::Event::ClientDisconnected {
                number: self.number,
            }));
        }
    }
}
