//! Messages that other modules hand over for sending.

use std::net;

use crate::messages::Message;

/// A message with its recipients.
#[derive(Debug)]
pub(crate) struct Outgoing {
    /// The message.
    pub(crate) message: Message,
    /// Addresses at which the recipients receive messages of other instances.
    pub(crate) recipients: Vec<net::SocketAddr>,
}

/// The queue of messages that are sent as soon as possible.
#[derive(Debug)]
pub struct Outbox {
    sender: flume::Sender<Outgoing>,
    queue: flume::Receiver<Outgoing>,
}

impl Default for Outbox {
    fn default() -> Self {
        let (sender, queue) = flume::unbounded();
        Self { sender, queue }
    }
}

impl Outbox {
    /// Queues a message.
    pub fn send(&self, message: Message, recipients: Vec<net::SocketAddr>) {
        let outgoing = Outgoing {
            message,
            recipients,
        };
        // The receiver lives as long as this value.
        let _ = self.sender.send(outgoing);
    }

    /// Returns the queued messages.
    pub(crate) const fn queue(&self) -> &flume::Receiver<Outgoing> {
        &self.queue
    }
}
