//! Tickets: numbered changes that can be read, attributed and defended afterwards.
//!
//! ```
//! use damaskvane_config::{manifest, ticket};
//!
//! let draft = ticket::Draft { reason: "first zone".into(), ..Default::default() };
//! let ticket = draft.ticket_after(&manifest::Head::default());
//! assert_eq!(ticket.number.get(), 1);
//! ```

use std::collections::BTreeMap;

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;
use serde::{Deserialize, Serialize};

use crate::chunk::{self, Chunk};
use crate::declaration::Declaration;
use crate::manifest::{Head, ObjectEntry};
use crate::object::ObjectId;

/// The whole new state of each object that a ticket touches; `None` deletes it.
pub type Changes = BTreeMap<ObjectId, Option<Declaration>>;

/// The versions a ticket was written against: for each object the ticket that last changed it, 0
/// where the object was absent.
pub type Base = BTreeMap<ObjectId, ids::TicketNumber>;

/// A change before it has a number.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Draft {
    /// Who submits it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When it was submitted, in milliseconds since 1970 by the submitter's clock.
    pub submitted_at_unix_ms: u64,
    /// The identity of this submission; equal on every retry, never equal for two submissions.
    pub write_id: String,
    /// The version of the head it was written against.
    pub base_version: ids::ConfigVersion,
    /// The versions of the objects it was written against.
    pub base: Base,
    /// The new states.
    pub changes: Changes,
    /// The declarations as they were written.
    pub text: String,
}

/// A change with its number, as it is kept for good.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The number; gapless, since it is one more than the head's in the same conditional update.
    pub number: ids::TicketNumber,
    /// Who submitted it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When it was submitted, in milliseconds since 1970 by the submitter's clock.
    pub submitted_at_unix_ms: u64,
    /// The identity of the submission.
    pub write_id: String,
    /// Names the chunk of the ticket before this one, so that the history can be followed from the
    /// head and a ticket that lost a race is never taken for an accepted one.
    pub previous: Option<ContentHash>,
    /// The version of the head it was written against.
    pub base_version: ids::ConfigVersion,
    /// The versions of the objects it was written against.
    pub base: Base,
    /// Names the chunk with the new state of each object; `None` deletes it. Chunks are kept for
    /// good, so the ticket stays readable exactly as accepted.
    pub changes: BTreeMap<ObjectId, Option<ContentHash>>,
    /// The declarations as they were written.
    pub text: String,
}

/// An object that changed after a ticket was written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Overlap {
    /// The object.
    pub object: ObjectId,
    /// The version the ticket was written against.
    pub base: ids::TicketNumber,
    /// The ticket that changed it since; 0 where the object was deleted.
    pub changed_by: ids::TicketNumber,
}

/// Why bytes are no ticket.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum TicketError {
    /// the bytes are no ticket ({0}); read it again from the platform
    Decode(String),
}

impl Draft {
    /// The objects that changed since the draft was written; a draft with any is refused.
    #[must_use]
    pub fn overlaps(&self, head: &Head) -> Vec<Overlap> {
        let changed = |object: &&ObjectId| head.base_of(object) != self.base_of(object);
        self.changes
            .keys()
            .filter(changed)
            .map(|object| Overlap {
                object: object.clone(),
                base: self.base_of(object),
                changed_by: head.base_of(object),
            })
            .collect()
    }

    /// The ticket that follows a head.
    #[must_use]
    pub fn ticket_after(&self, head: &Head) -> Ticket {
        Ticket {
            number: head.ticket.next(),
            author: self.author.clone(),
            reason: self.reason.clone(),
            submitted_at_unix_ms: self.submitted_at_unix_ms,
            write_id: self.write_id.clone(),
            previous: head.ticket_hash,
            base_version: self.base_version,
            base: self.base.clone(),
            changes: self.change_hashes(),
            text: self.text.clone(),
        }
    }

    /// The chunks of the new states.
    #[must_use]
    pub fn object_chunks(&self) -> BTreeMap<ObjectId, Chunk> {
        self.changes
            .iter()
            .filter_map(|(id, state)| Some((id.clone(), Chunk::encode(id, state.as_ref()?))))
            .collect()
    }

    fn change_hashes(&self) -> BTreeMap<ObjectId, Option<ContentHash>> {
        let hash = |(id, state): (&ObjectId, &Option<Declaration>)| {
            let state = state.as_ref();
            let hash = state.map(|state| Chunk::encode(id, state).hash());
            (id.clone(), hash)
        };
        self.changes.iter().map(hash).collect()
    }

    fn base_of(&self, object: &ObjectId) -> ids::TicketNumber {
        self.base.get(object).copied().unwrap_or_default()
    }
}

impl Ticket {
    /// The ticket as a chunk.
    #[must_use]
    pub fn to_chunk(&self) -> Chunk {
        Chunk::from_bytes(chunk::to_json(self))
    }

    /// Reads a ticket.
    ///
    /// # Errors
    ///
    /// When the bytes are no ticket.
    pub fn decode(bytes: &[u8]) -> Result<Self, TicketError> {
        serde_json::from_slice(bytes).map_err(|error| TicketError::Decode(error.to_string()))
    }

    /// The head that accepts this ticket.
    #[must_use]
    pub fn head_after(&self, before: &Head) -> Head {
        let mut objects = before.objects.clone();
        for (id, state) in &self.changes {
            let Some(hash) = *state else {
                objects.remove(id);
                continue;
            };
            let ticket = self.number;
            objects.insert(id.clone(), ObjectEntry { hash, ticket });
        }
        Head {
            version: ids::ConfigVersion::new(self.number.get()),
            ticket: self.number,
            ticket_hash: Some(self.to_chunk().hash()),
            author: self.author.clone(),
            write_id: self.write_id.clone(),
            objects,
            foreign: before.foreign.clone(),
        }
    }
}
