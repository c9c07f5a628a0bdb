//! The transport to the other entry instances, addressed by instance name.
//!
//! ```
//! use damaskvane_entry::peers;
//!
//! let book = peers::AddressBook::default();
//! assert!(book.get(&"e-1".parse()?).is_none());
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

mod address_book;
mod seed;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use address_book::AddressBook;
use damaskvane_core::ids;
use damaskvane_engine::peer;
use damaskvane_peer::{address, counters, transport};
pub use seed::{ParseSeedError, Seeds};

use crate::wire;

/// Transport with the peer addresses of all known instances.
pub struct Peers {
    transport: transport::Transport<wire::WireMessage>,
    book: Mutex<AddressBook>,
}

impl Peers {
    /// Wraps a transport, with an empty address book.
    #[must_use]
    pub fn new(transport: transport::Transport<wire::WireMessage>) -> Self {
        Self {
            transport,
            book: Mutex::default(),
        }
    }

    fn book(&self) -> MutexGuard<'_, AddressBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address that this instance listens on for its peers.
    #[must_use]
    pub const fn local_address(&self) -> &address::PeerAddress {
        self.transport.local_address()
    }

    /// Replaces the address book. Messages are accepted from the instances in the book only.
    pub fn set_book(&self, book: AddressBook) {
        self.transport.set_allowed_senders(book.instances());
        *self.book() = book;
    }

    /// Sets whether messages of instances that are not in the book are accepted too.
    pub fn set_admits_unlisted(&self, admits_unlisted: bool) {
        self.transport.set_admits_unlisted(admits_unlisted);
    }

    /// Returns whether an instance is in the address book.
    #[must_use]
    pub fn knows(&self, instance: &ids::InstanceId) -> bool {
        self.book().get(instance).is_some()
    }

    /// Sends a message. Returns false if the instance is not in the address book or the transport dropped the
    /// message; the transport counts its drops by reason.
    pub fn send(&self, to: &ids::InstanceId, message: &wire::WireMessage) -> bool {
        let address = self.book().get(to);
        address.is_some_and(|address| self.transport.send(&address, message).is_ok())
    }

    /// Sends a message to an address that need not be in the address book.
    pub fn send_to(&self, to: &address::PeerAddress, message: &wire::WireMessage) -> bool {
        self.transport.send(to, message).is_ok()
    }

    /// Sends a message of the engine; the result is that of [`Self::send`].
    pub fn send_engine(&self, to: &ids::InstanceId, message: peer::PeerMessage) -> bool {
        self.send(to, &wire::WireMessage::Engine(Box::new(message)))
    }

    /// Replaces the connection to an instance whose messages stopped arriving.
    pub fn reconnect(&self, to: &ids::InstanceId) {
        let address = self.book().get(to);
        if let Some(address) = address {
            self.transport.reconnect(&address);
        }
    }

    /// Closes connections that are idle or can't be established. Has to be called about once a second.
    pub fn maintain(&self) {
        self.transport.maintain();
    }

    /// Returns the numbers of messages and bytes sent and received, by kind of message.
    #[must_use]
    pub fn counters(&self) -> counters::CounterSnapshot {
        self.transport.counters()
    }
}
