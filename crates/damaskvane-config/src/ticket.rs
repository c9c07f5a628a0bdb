//! Tickets: numbered changes, stored permanently with their author and reason.
//!
//! A ticket is accepted when the head, the stored list of all objects of a version, is updated to
//! name it.
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

/// The complete new state of each object that a ticket changes; `None` deletes the object.
pub type Changes = BTreeMap<ObjectId, Option<Declaration>>;

/// The versions that objects had when a ticket was written.
///
/// The version of an object is the ticket that last changed it, or 0 if the object was absent.
pub type Base = BTreeMap<ObjectId, ids::TicketNumber>;

/// A change that has not been accepted and has no number yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Draft {
    /// The operator who submits the change.
    pub author: String,
    /// Why the change is made, as free text.
    pub reason: String,
    /// The time of submission, in milliseconds since 1970 by the submitter's clock.
    pub submitted_at_unix_ms: u64,
    /// The id of this submission; equal on every retry, and different for every submission.
    pub write_id: String,
    /// The version of the head against which the change was written.
    pub base_version: ids::ConfigVersion,
    /// The versions of the objects against which the change was written.
    pub base: Base,
    /// The new states of the objects.
    pub changes: Changes,
    /// The declarations as the operator wrote them.
    pub text: String,
}

/// A change with its number, as it is stored permanently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The number, without gaps, since the head's conditional update increases it by one.
    pub number: ids::TicketNumber,
    /// The operator who submitted the change.
    pub author: String,
    /// Why the change was made, as free text.
    pub reason: String,
    /// The time of submission, in milliseconds since 1970 by the submitter's clock.
    pub submitted_at_unix_ms: u64,
    /// The id of the submission.
    pub write_id: String,
    /// The hash of the chunk of the previous ticket; `None` for the first ticket.
    ///
    /// With this hash the history can be followed from the head, so that a ticket whose head update
    /// lost against another ticket is never taken for an accepted one.
    pub previous: Option<ContentHash>,
    /// The version of the head against which the change was written.
    pub base_version: ids::ConfigVersion,
    /// The versions of the objects against which the change was written.
    pub base: Base,
    /// The hash of the chunk with the new state of each object; `None` deletes the object.
    ///
    /// Chunks are never removed, so the ticket stays readable exactly as it was accepted.
    pub changes: BTreeMap<ObjectId, Option<ContentHash>>,
    /// The declarations as the operator wrote them.
    pub text: String,
}

/// An object that another ticket changed after a draft was written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Overlap {
    /// The object.
    pub object: ObjectId,
    /// The version of the object against which the draft was written.
    pub base: ids::TicketNumber,
    /// The ticket that has changed the object since; 0 if the object was deleted.
    pub changed_by: ids::TicketNumber,
}

/// The error of decoding a ticket.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum TicketError {
    /// the bytes are not a valid ticket ({0}); read it again from the platform
    Decode(String),
}

impl Draft {
    /// Returns the objects that changed since the draft was written; a draft with any such object
    /// is rejected.
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

    /// Returns the ticket that this draft becomes if it is accepted on top of a head.
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

    /// Returns the chunks of the new states; a deleted object has no chunk.
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
    /// Returns the ticket as a chunk to be stored.
    #[must_use]
    pub fn to_chunk(&self) -> Chunk {
        Chunk::from_bytes(chunk::to_json(self))
    }

    /// Decodes a ticket.
    ///
    /// # Errors
    ///
    /// Returns [`TicketError::Decode`] if the bytes are not a ticket.
    pub fn decode(bytes: &[u8]) -> Result<Self, TicketError> {
        serde_json::from_slice(bytes).map_err(|error| TicketError::Decode(error.to_string()))
    }

    /// Returns the head that follows the head `before` if this ticket is accepted.
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
            unknown_objects: before.unknown_objects.clone(),
        }
    }
}
