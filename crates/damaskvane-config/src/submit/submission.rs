//! The state machine that submits one ticket.
//!
//! A ticket is a numbered change of declared objects. A chunk is the stored state of one object, or
//! a stored ticket. The head is the stored list of all objects of one version; a ticket is accepted
//! when the head is updated to name it.
//!
//! ```
//! use std::sync::Arc;
//! use damaskvane_config::{submit, ticket};
//!
//! let mut submission = submit::Submission::new(ticket::Draft::default());
//! submission.handle_response(&submit::Call::ReadHead, submit::StoreResponse::Failed("down".into()));
//! assert_eq!(submission.next_step(), submit::Step::Pause);
//! ```

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

use crate::chunk::{Chunk, MAX_CHUNK_BYTES};
use crate::manifest::Head;
use crate::problem::Problem;
use crate::state::{Chunks, assemble};
use crate::submit::call::{Call, StoreResponse};
use crate::submit::outcome::{Outcome, Step};
use crate::ticket::{Draft, Ticket};

/// Maximum number of failed calls before the submission is abandoned.
const MAX_FAILURES: u32 = 12;

/// The head as it was last read, with its version in the store.
#[derive(Debug, Clone)]
struct HeadSnapshot {
    store_version: u64,
    head: Head,
}

/// A head write whose response was lost, identified by the ticket that it would have accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UnconfirmedWrite {
    number: ids::TicketNumber,
    hash: ContentHash,
}

/// The submission of one ticket.
#[derive(Debug, Clone)]
pub struct Submission {
    draft: Draft,
    new_chunks: Vec<Chunk>,
    snapshot: Option<HeadSnapshot>,
    chunks: Chunks,
    stored: BTreeSet<ContentHash>,
    unverified: BTreeSet<ContentHash>,
    broken: BTreeMap<ContentHash, u64>,
    validated: Option<ContentHash>,
    filed: BTreeSet<ids::TicketNumber>,
    highest_store_version: u64,
    unconfirmed_writes: Vec<UnconfirmedWrite>,
    failures: u32,
    pause_due: bool,
    outcome: Option<Outcome>,
}

impl Submission {
    /// Starts the submission of a draft.
    #[must_use]
    pub fn new(draft: Draft) -> Self {
        Self {
            new_chunks: draft.object_chunks().into_values().collect(),
            draft,
            snapshot: None,
            chunks: Chunks::new(),
            stored: BTreeSet::new(),
            unverified: BTreeSet::new(),
            broken: BTreeMap::new(),
            validated: None,
            filed: BTreeSet::new(),
            highest_store_version: 0,
            unconfirmed_writes: Vec::new(),
            failures: 0,
            pause_due: false,
            outcome: None,
        }
    }

    /// Returns the next step, which depends on the responses so far.
    pub fn next_step(&mut self) -> Step {
        if let Some(outcome) = &self.outcome {
            return Step::Done(outcome.clone());
        }
        if core::mem::take(&mut self.pause_due) {
            return Step::Pause;
        }
        match self.plan() {
            Ok(call) => Step::Call(call),
            Err(outcome) => {
                self.outcome = Some(outcome.clone());
                Step::Done(outcome)
            }
        }
    }

    fn plan(&mut self) -> Result<Call, Outcome> {
        let Some(snapshot) = self.snapshot.clone() else {
            return Ok(Call::ReadHead);
        };
        // Unconfirmed writes are checked before overlaps: a ticket that was accepted but whose
        // response was lost would overlap with itself and be rejected, though it is active.
        if let Some(call) = self.find_accepted_ticket(&snapshot.head)? {
            return Ok(call);
        }
        let overlaps = self.draft.overlaps(&snapshot.head);
        if !overlaps.is_empty() {
            return Err(Outcome::Overlapping(overlaps));
        }
        if let Some(hash) = self.missing_chunk(&snapshot.head) {
            return Ok(Call::ReadChunk(hash));
        }
        let ticket = self.draft.ticket_after(&snapshot.head);
        let head = ticket.head_after(&snapshot.head);
        self.validate(&ticket, &head)?;
        if let Some(call) = self.unfiled_ticket(&snapshot.head) {
            return Ok(call);
        }
        if let Some(call) = self.store_chunks(&ticket.to_chunk()) {
            return Ok(call);
        }
        Ok(Call::WriteHead {
            if_version: snapshot.store_version,
            bytes: head.encode().into(),
            write_id: self.draft.write_id.clone(),
        })
    }

    /// Returns the next call towards storing the ticket and the chunks that it creates: a read or a
    /// write of one chunk. Returns `None` if all are stored.
    fn store_chunks(&self, ticket: &Chunk) -> Option<Call> {
        if let Some(hash) = self.unverified.first() {
            return Some(Call::ReadChunk(*hash));
        }
        let unstored = |chunk: &&Chunk| !self.stored.contains(&chunk.hash());
        let mut new_chunks = self.new_chunks.iter().chain([ticket]);
        let chunk = new_chunks.find(unstored)?.clone();
        Some(match self.broken.get(&chunk.hash()) {
            Some(version) => Call::RepairChunk {
                if_version: *version,
                chunk,
            },
            None => Call::WriteChunk(chunk),
        })
    }

    /// Searches the history, from the head back, for a ticket of an unconfirmed write.
    ///
    /// Returns the accepted ticket as an error, since the submission ends with it, or else the next
    /// chunk to read, or `None` if no unconfirmed write was accepted. A later ticket may have been
    /// accepted after this one. A comparison with the head alone would take this ticket for lost
    /// and submit it again, which would apply it twice or undo the later ticket.
    fn find_accepted_ticket(&self, head: &Head) -> Result<Option<Call>, Outcome> {
        let Some(oldest) = self
            .unconfirmed_writes
            .iter()
            .map(|write| write.number)
            .min()
        else {
            return Ok(None);
        };
        let mut number = head.ticket;
        let mut hash = head.ticket_hash;
        while let Some(current) = hash.filter(|_| number >= oldest) {
            let candidate = UnconfirmedWrite {
                number,
                hash: current,
            };
            if self.unconfirmed_writes.contains(&candidate) {
                return Err(Outcome::Accepted { number });
            }
            let Some(chunk) = self.chunks.get(&current) else {
                return Ok(Some(Call::ReadChunk(current)));
            };
            let ticket = decode_ticket(chunk)?;
            number = ids::TicketNumber::new(number.get().saturating_sub(1));
            hash = ticket.previous;
        }
        Ok(None)
    }

    fn missing_chunk(&self, head: &Head) -> Option<ContentHash> {
        let replaced = |object| self.draft.changes.contains_key(object);
        let entries = head.objects.iter();
        entries
            .filter(|(object, _)| !replaced(*object))
            .map(|(_, entry)| entry.hash)
            .chain(head.ticket_hash)
            .find(|hash| !self.chunks.contains_key(hash))
    }

    /// Validates the configuration that the ticket would produce, once for each head on which the
    /// ticket is based.
    fn validate(&mut self, ticket: &Ticket, head: &Head) -> Result<(), Outcome> {
        if self.validated == head.ticket_hash {
            return Ok(());
        }
        let mut chunks = self.chunks.clone();
        chunks.extend(
            self.new_chunks
                .iter()
                .map(|chunk| (chunk.hash(), chunk.clone())),
        );
        assemble(head, &chunks).map_err(Outcome::Invalid)?;
        let largest = self
            .new_chunks
            .iter()
            .map(|chunk| chunk.bytes().len())
            .max();
        let sizes = [
            ticket.to_chunk().bytes().len(),
            head.encode().len(),
            largest.unwrap_or(0),
        ];
        if sizes.iter().all(|size| *size <= MAX_CHUNK_BYTES) {
            self.validated = head.ticket_hash;
            return Ok(());
        }
        let message = "the ticket, the head or an object is over one megabyte";
        let remedy = "split the ticket or the object";
        Err(Outcome::Invalid(vec![Problem::new(message, remedy)]))
    }

    /// Returns the call that files the head's ticket under its number, unless the ticket is filed.
    ///
    /// The ticket is filed before a newer head replaces the hash that leads to it. The tickets of
    /// all heads but the newest are thus filed, and `show N` always needs one read. A ticket whose
    /// head update lost against another ticket is never filed, since no head names it.
    fn unfiled_ticket(&self, head: &Head) -> Option<Call> {
        let chunk = self.chunks.get(&head.ticket_hash?)?;
        let unfiled = !self.filed.contains(&head.ticket);
        unfiled.then(|| Call::FileTicket(head.ticket, chunk.clone()))
    }

    /// Handles the store's response to a call.
    pub fn handle_response(&mut self, call: &Call, response: StoreResponse) {
        match response {
            StoreResponse::Refused(reason) => self.abandon(&reason),
            StoreResponse::Failed(reason) => self.record_failure(&reason),
            StoreResponse::Unknown(reason) => {
                self.record_unconfirmed_write(call);
                self.record_failure(&reason);
            }
            StoreResponse::Found { version, bytes } => self.handle_read(call, version, &bytes),
            StoreResponse::Absent => self.handle_absent(call),
            StoreResponse::Applied => self.handle_write(call, true),
            StoreResponse::Conflict => self.handle_write(call, false),
        }
    }

    fn handle_read(&mut self, call: &Call, store_version: u64, bytes: &[u8]) {
        match call {
            Call::ReadHead => match Head::decode(bytes) {
                Ok(head) => self.record_head(store_version, head),
                Err(error) => self.abandon(&error.to_string()),
            },
            Call::ReadChunk(hash) => {
                let chunk = Chunk::from_bytes(bytes);
                if chunk.hash() == *hash {
                    self.stored.insert(*hash);
                    self.unverified.remove(hash);
                    self.chunks.insert(*hash, chunk);
                } else if self.unverified.remove(hash) {
                    self.broken.insert(*hash, store_version);
                } else {
                    self.record_failure(&broken_chunk_reason(hash));
                }
            }
            _ => {}
        }
    }

    /// Records a head; one older than an earlier head or the draft's base counts as a failure.
    ///
    /// A stale read returns objects as they were before the draft's base. The objects would seem to
    /// have changed, and the ticket would be rejected, even if it is already accepted.
    fn record_head(&mut self, store_version: u64, head: Head) {
        if store_version < self.highest_store_version || head.version < self.draft.base_version {
            self.record_failure("the store returned an old head; submit again later");
            return;
        }
        self.highest_store_version = store_version;
        self.snapshot = Some(HeadSnapshot {
            store_version,
            head,
        });
    }

    fn handle_absent(&mut self, call: &Call) {
        match call {
            Call::ReadHead => self.record_head(0, Head::default()),
            Call::ReadChunk(hash) if self.unverified.remove(hash) => {}
            Call::ReadChunk(hash) => self.record_failure(&broken_chunk_reason(hash)),
            _ => {}
        }
    }

    fn handle_write(&mut self, call: &Call, applied: bool) {
        match call {
            Call::WriteChunk(chunk) if applied => _ = self.stored.insert(chunk.hash()),
            // An object exists under the hash. It may be broken, and no instance could apply a head
            // that names a broken chunk, so the object is read and hashed first.
            Call::WriteChunk(chunk) => _ = self.unverified.insert(chunk.hash()),
            Call::RepairChunk { chunk, .. } => {
                self.broken.remove(&chunk.hash());
                let checked = if applied {
                    &mut self.stored
                } else {
                    &mut self.unverified
                };
                checked.insert(chunk.hash());
            }
            Call::FileTicket(number, _) => _ = self.filed.insert(*number),
            Call::WriteHead { bytes, .. } if applied => self.record_acceptance(bytes),
            // Another ticket was accepted first, or an earlier attempt of this write took effect.
            // From now on a read that returns the head at the same version is stale.
            Call::WriteHead { if_version, .. } => {
                self.highest_store_version = if_version + 1;
                self.snapshot = None;
            }
            Call::ReadHead | Call::ReadChunk(_) => {}
        }
    }

    fn record_acceptance(&mut self, bytes: &[u8]) {
        match Head::decode(bytes) {
            Ok(head) => {
                let number = head.ticket;
                self.outcome = Some(Outcome::Accepted { number });
            }
            Err(error) => self.abandon(&error.to_string()),
        }
    }

    fn record_unconfirmed_write(&mut self, call: &Call) {
        let Call::WriteHead { bytes, .. } = call else {
            return;
        };
        if let Ok(head) = Head::decode(bytes)
            && let Some(hash) = head.ticket_hash
        {
            self.unconfirmed_writes.push(UnconfirmedWrite {
                number: head.ticket,
                hash,
            });
        }
        self.snapshot = None;
    }

    fn record_failure(&mut self, reason: &str) {
        self.failures += 1;
        self.pause_due = true;
        if self.failures > MAX_FAILURES {
            self.abandon(reason);
        }
    }

    fn abandon(&mut self, reason: &str) {
        let reason = reason.to_owned();
        self.outcome = Some(if self.unconfirmed_writes.is_empty() {
            Outcome::NotAccepted(reason)
        } else {
            Outcome::Unknown(reason)
        });
    }
}

fn decode_ticket(chunk: &Chunk) -> Result<Ticket, Outcome> {
    Ticket::decode(chunk.bytes()).map_err(|error| Outcome::Unknown(error.to_string()))
}

fn broken_chunk_reason(hash: &ContentHash) -> String {
    format!("chunk {hash} is missing or broken; submit its object again, from version control")
}
