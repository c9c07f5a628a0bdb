//! The addresses that the known instances listen on for their peers.
//!
//! ```
//! use damaskvane_entry::peers;
//!
//! let mut book = peers::AddressBook::default();
//! book.insert("e-1".parse()?, "127.0.0.1:7101".parse()?);
//! assert_eq!(book.instances().count(), 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::collections::BTreeMap;

use damaskvane_core::ids;
use damaskvane_peer::address;

/// Peer addresses by instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AddressBook(BTreeMap<ids::InstanceId, address::PeerAddress>);

impl AddressBook {
    /// Adds an instance's peer address, replacing an earlier one.
    pub fn insert(&mut self, instance: ids::InstanceId, address: address::PeerAddress) {
        self.0.insert(instance, address);
    }

    /// Returns an instance's peer address, or `None` if the instance is not in the book.
    #[must_use]
    pub fn get(&self, instance: &ids::InstanceId) -> Option<address::PeerAddress> {
        self.0.get(instance).copied()
    }

    /// Returns the names of all instances in the book.
    pub fn instances(&self) -> impl Iterator<Item = ids::InstanceId> + '_ {
        self.0.keys().cloned()
    }
}
