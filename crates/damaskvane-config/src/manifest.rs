//! The head: the stored object whose conditional update accepts a ticket.
//!
//! The head lists all declared objects of one version. A ticket is a numbered change of objects,
//! and a chunk is the stored state of one object or a stored ticket.
//!
//! ```
//! use damaskvane_config::manifest;
//!
//! let empty = manifest::Head::default();
//! assert_eq!(manifest::Head::decode(&empty.encode()).expect("own encoding"), empty);
//! ```

use std::collections::BTreeMap;

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;
use serde::{Deserialize, Serialize};

use crate::chunk;
use crate::object::ObjectId;

/// The entry of one object in the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEntry {
    /// The hash of the chunk with the object's state.
    pub hash: ContentHash,
    /// The ticket that last changed the object.
    pub ticket: ids::TicketNumber,
}

/// The list of all declared objects of one version, with the ticket that made the version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredHead", into = "StoredHead")]
pub struct Head {
    /// The version, which increases by one with each ticket.
    pub version: ids::ConfigVersion,
    /// The ticket that made this version.
    pub ticket: ids::TicketNumber,
    /// The hash of the chunk that holds the ticket; `None` before the first ticket.
    pub ticket_hash: Option<ContentHash>,
    /// The operator who submitted the ticket; the platform checks the name against the credential.
    pub author: String,
    /// The id of the submission that made this version.
    pub write_id: String,
    /// The entries of all objects of known kinds.
    pub objects: BTreeMap<ObjectId, ObjectEntry>,
    /// The entries of objects of kinds that this program doesn't know, by name.
    ///
    /// During an upgrade a newer program may declare such objects. They are retained and sent to
    /// peers, but not interpreted.
    pub unknown_objects: BTreeMap<String, ObjectEntry>,
}

/// The stored form of the head, with the objects of known and unknown kinds in one map.
#[derive(Debug, Serialize, Deserialize)]
struct StoredHead {
    version: ids::ConfigVersion,
    ticket: ids::TicketNumber,
    ticket_hash: Option<ContentHash>,
    author: String,
    write_id: String,
    objects: BTreeMap<String, ObjectEntry>,
}

impl From<StoredHead> for Head {
    fn from(stored: StoredHead) -> Self {
        let mut objects = BTreeMap::new();
        let mut unknown_objects = BTreeMap::new();
        for (name, entry) in stored.objects {
            match name.parse() {
                Ok(id) => _ = objects.insert(id, entry),
                Err(_) => _ = unknown_objects.insert(name, entry),
            }
        }
        Self {
            version: stored.version,
            ticket: stored.ticket,
            ticket_hash: stored.ticket_hash,
            author: stored.author,
            write_id: stored.write_id,
            objects,
            unknown_objects,
        }
    }
}

impl From<Head> for StoredHead {
    fn from(head: Head) -> Self {
        Self {
            objects: head.entries_by_name(),
            version: head.version,
            ticket: head.ticket,
            ticket_hash: head.ticket_hash,
            author: head.author,
            write_id: head.write_id,
        }
    }
}

/// The error of decoding a head.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum HeadError {
    /// the bytes are not a valid head ({0}); fetch it again from the platform or another instance
    Decode(String),
    /// the head's version {version} and ticket {ticket} differ; fetch it again from the platform
    Number {
        /// The version in the head.
        version: ids::ConfigVersion,
        /// The number of the ticket in the head.
        ticket: ids::TicketNumber,
    },
}

impl Head {
    /// Encodes the head canonically, so that equal heads have equal bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        chunk::to_json(self)
    }

    /// Decodes a head that was received from the store or a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a head, or if its version and ticket number differ.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeadError> {
        let head: Self =
            serde_json::from_slice(bytes).map_err(|error| HeadError::Decode(error.to_string()))?;
        if head.version.get() != head.ticket.get() {
            return Err(HeadError::Number {
                version: head.version,
                ticket: head.ticket,
            });
        }
        Ok(head)
    }

    /// Returns the hash over all entries; instances with the same version have the same hash.
    #[must_use]
    pub fn state_hash(&self) -> ContentHash {
        ContentHash::of(&chunk::to_json(&self.entries_by_name()))
    }

    /// Returns the entries of all objects, those of unknown kinds included.
    pub fn entries(&self) -> impl Iterator<Item = &ObjectEntry> {
        self.objects.values().chain(self.unknown_objects.values())
    }

    fn entries_by_name(&self) -> BTreeMap<String, ObjectEntry> {
        let known = self
            .objects
            .iter()
            .map(|(id, entry)| (id.to_string(), *entry));
        let unknown_objects = self
            .unknown_objects
            .iter()
            .map(|(name, entry)| (name.clone(), *entry));
        known.chain(unknown_objects).collect()
    }

    /// Returns the ticket that last changed an object, or 0 if the object is absent.
    #[must_use]
    pub fn base_of(&self, id: &ObjectId) -> ids::TicketNumber {
        self.objects
            .get(id)
            .map_or(ids::TicketNumber::new(0), |entry| entry.ticket)
    }
}
