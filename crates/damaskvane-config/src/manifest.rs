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
        ContentHash::of(&chunk::to_json(&self.objects))
    }

    /// The ticket that last changed an object; 0 where the object is absent.
    #[must_use]
    pub fn base_of(&self, id: &ObjectId) -> ids::TicketNumber {
        self.objects
            .get(id)
            .map_or(ids::TicketNumber::new(0), |entry| entry.ticket)
    }
}
