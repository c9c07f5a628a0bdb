//! The head: the one object whose conditional update accepts a ticket.
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

/// What the head says of one object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEntry {
    /// Names the chunk with the object's state.
    pub hash: ContentHash,
    /// The ticket that last changed the object.
    pub ticket: ids::TicketNumber,
}

/// The head of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredHead", into = "StoredHead")]
pub struct Head {
    /// The version; it rises by one with each ticket.
    pub version: ids::ConfigVersion,
    /// The ticket that made this version.
    pub ticket: ids::TicketNumber,
    /// Names the chunk that holds the ticket; `None` before the first ticket.
    pub ticket_hash: Option<ContentHash>,
    /// Who submitted the ticket; the platform checks it against the credential.
    pub author: String,
    /// The identity of the write that made this version.
    pub write_id: String,
    /// Every object in force.
    pub objects: BTreeMap<ObjectId, ObjectEntry>,
    /// Objects of kinds that this program doesn't know. During an upgrade a newer program declares
    /// them; they are carried on and served to peers, but not interpreted.
    pub foreign: BTreeMap<String, ObjectEntry>,
}

/// The head as it is stored.
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
        let mut foreign = BTreeMap::new();
        for (name, entry) in stored.objects {
            match name.parse() {
                Ok(id) => _ = objects.insert(id, entry),
                Err(_) => _ = foreign.insert(name, entry),
            }
        }
        Self {
            version: stored.version,
            ticket: stored.ticket,
            ticket_hash: stored.ticket_hash,
            author: stored.author,
            write_id: stored.write_id,
            objects,
            foreign,
        }
    }
}

impl From<Head> for StoredHead {
    fn from(head: Head) -> Self {
        Self {
            objects: head.named_entries(),
            version: head.version,
            ticket: head.ticket,
            ticket_hash: head.ticket_hash,
            author: head.author,
            write_id: head.write_id,
        }
    }
}

/// Why bytes are no head.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum HeadError {
    /// the bytes are no head ({0}); fetch it again from the platform or another instance
    Decode(String),
    /// the head's version {version} and ticket {ticket} differ; fetch it again from the platform
    Number {
        /// The version as given.
        version: ids::ConfigVersion,
        /// The ticket as given.
        ticket: ids::TicketNumber,
    },
}

impl Head {
    /// The canonical bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        chunk::to_json(self)
    }

    /// Reads a head that came from outside.
    ///
    /// # Errors
    ///
    /// When the bytes are no head or contradict themselves.
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

    /// The hash over everything in force; equal at equal version on every instance.
    #[must_use]
    pub fn state_hash(&self) -> ContentHash {
        ContentHash::of(&chunk::to_json(&self.named_entries()))
    }

    /// What the head says of each object, of unknown kinds too.
    pub fn entries(&self) -> impl Iterator<Item = &ObjectEntry> {
        self.objects.values().chain(self.foreign.values())
    }

    fn named_entries(&self) -> BTreeMap<String, ObjectEntry> {
        let known = self
            .objects
            .iter()
            .map(|(id, entry)| (id.to_string(), *entry));
        let foreign = self
            .foreign
            .iter()
            .map(|(name, entry)| (name.clone(), *entry));
        known.chain(foreign).collect()
    }

    /// The ticket that last changed an object; 0 where the object is absent.
    #[must_use]
    pub fn base_of(&self, id: &ObjectId) -> ids::TicketNumber {
        self.objects
            .get(id)
            .map_or(ids::TicketNumber::new(0), |entry| entry.ticket)
    }
}
