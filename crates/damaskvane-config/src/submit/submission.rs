//! One submission.
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

/// How many calls may fail before the submission gives up.
const MAX_FAILURES: u32 = 12;

/// The head as it was read.
#[derive(Debug, Clone)]
struct KnownHead {
    store_version: u64,
    head: Head,
}

/// A head write whose effect was not told, by the ticket it would have accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Doubt {
    number: ids::TicketNumber,
    hash: ContentHash,
}

/// A ticket on its way into the store.
#[derive(Debug, Clone)]
pub struct Submission {
    draft: Draft,
    new_chunks: Vec<Chunk>,
    known: Option<KnownHead>,
    chunks: Chunks,
    stored: BTreeSet<ContentHash>,
    unverified: BTreeSet<ContentHash>,
    broken: BTreeMap<ContentHash, u64>,
    validated: Option<ContentHash>,
    filed: BTreeSet<ids::TicketNumber>,
    highest_seen: u64,
    doubts: Vec<Doubt>,
    failures: u32,
    pause_due: bool,
    outcome: Option<Outcome>,
}

impl Submission {
    /// Starts to submit a draft.
    #[must_use]
    pub fn new(draft: Draft) -> Self {
        Self {
            new_chunks: draft.object_chunks().into_values().collect(),
            draft,
            known: None,
            chunks: Chunks::new(),
            stored: BTreeSet::new(),
            unverified: BTreeSet::new(),
            broken: BTreeMap::new(),
            validated: None,
            filed: BTreeSet::new(),
            highest_seen: 0,
            doubts: Vec::new(),
            failures: 0,
            pause_due: false,
            outcome: None,
        }
    }

    /// What to do next.
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
        let Some(known) = self.known.clone() else {
            return Ok(Call::ReadHead);
        };
        // The order matters: a ticket that was accepted while its answer was lost would overlap
        // with itself and be refused, though it is in force.
        if let Some(call) = self.resolve_doubts(&known.head)? {
            return Ok(call);
        }
        let overlaps = self.draft.overlaps(&known.head);
        if !overlaps.is_empty() {
            return Err(Outcome::Overlapping(overlaps));
        }
        if let Some(hash) = self.missing_chunk(&known.head) {
            return Ok(Call::ReadChunk(hash));
        }
        let ticket = self.draft.ticket_after(&known.head);
        let head = ticket.head_after(&known.head);
        self.validate(&ticket, &head)?;
        if let Some(call) = self.unfiled_ticket(&known.head) {
            return Ok(call);
        }
        if let Some(call) = self.store_chunks(&ticket.to_chunk()) {
            return Ok(call);
        }
        Ok(Call::WriteHead {
            if_version: known.store_version,
            bytes: head.encode().into(),
            write_id: self.draft.write_id.clone(),
        })
    }

    /// What is left to do until the new chunks and the ticket are whole in the store.
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

    /// Follows the history from the head back to each ticket in doubt.
    ///
    /// A later ticket may stand on top of ours by now. Comparing the head alone would take ours for
    /// lost and submit it again, which would run it twice or undo the later one.
    fn resolve_doubts(&self, head: &Head) -> Result<Option<Call>, Outcome> {
        let Some(oldest) = self.doubts.iter().map(|doubt| doubt.number).min() else {
            return Ok(None);
        };
        let mut number = head.ticket;
        let mut hash = head.ticket_hash;
        while let Some(current) = hash.filter(|_| number >= oldest) {
            let here = Doubt {
                number,
                hash: current,
            };
            if self.doubts.contains(&here) {
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

    /// Validates the state that the ticket would bring about, once for each head it is put on.
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

    /// Files the head's ticket under its number before a newer head hides its hash.
    ///
    /// Every head but the newest has its ticket filed, so `show N` is one read for ever. A ticket
    /// that lost a race is never filed: only what a head names is.
    fn unfiled_ticket(&self, head: &Head) -> Option<Call> {
        let chunk = self.chunks.get(&head.ticket_hash?)?;
        let unfiled = !self.filed.contains(&head.ticket);
        unfiled.then(|| Call::FileTicket(head.ticket, chunk.clone()))
    }

    /// Takes in the answer to a call.
    pub fn handle_response(&mut self, call: &Call, answer: StoreResponse) {
        match answer {
            StoreResponse::Refused(reason) => self.give_up(&reason),
            StoreResponse::Failed(reason) => self.fail(&reason),
            StoreResponse::Unknown(reason) => {
                self.note_doubt(call);
                self.fail(&reason);
            }
            StoreResponse::Found { version, bytes } => self.found(call, version, &bytes),
            StoreResponse::Absent => self.absent(call),
            StoreResponse::Applied => self.written(call, true),
            StoreResponse::Conflict => self.written(call, false),
        }
    }

    fn found(&mut self, call: &Call, store_version: u64, bytes: &[u8]) {
        match call {
            Call::ReadHead => match Head::decode(bytes) {
                Ok(head) => self.note_head(store_version, head),
                Err(error) => self.give_up(&error.to_string()),
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
                    self.fail(&not_whole(hash));
                }
            }
            _ => {}
        }
    }

    /// Takes in a head unless it is older than one seen before.
    ///
    /// A stale read shows objects as they were before the draft's own base. They would look changed,
    /// and a ticket would be refused, perhaps one that is accepted already.
    fn note_head(&mut self, store_version: u64, head: Head) {
        if store_version < self.highest_seen || head.version < self.draft.base_version {
            self.fail("the store answered with an old head; submit again later");
            return;
        }
        self.highest_seen = store_version;
        self.known = Some(KnownHead {
            store_version,
            head,
        });
    }

    fn absent(&mut self, call: &Call) {
        match call {
            Call::ReadHead => self.note_head(0, Head::default()),
            Call::ReadChunk(hash) if self.unverified.remove(hash) => {}
            Call::ReadChunk(hash) => self.fail(&not_whole(hash)),
            _ => {}
        }
    }

    fn written(&mut self, call: &Call, applied: bool) {
        match call {
            Call::WriteChunk(chunk) if applied => _ = self.stored.insert(chunk.hash()),
            // What stands under the hash may be broken, and a head that names it could not be
            // adopted anywhere; so it is read and hashed first.
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
            Call::WriteHead { bytes, .. } if applied => self.accepted(bytes),
            // Another ticket was accepted first, or an earlier try of this write took effect. A head
            // that is read at the same version from now on is a stale one.
            Call::WriteHead { if_version, .. } => {
                self.highest_seen = if_version + 1;
                self.known = None;
            }
            Call::ReadHead | Call::ReadChunk(_) => {}
        }
    }

    fn accepted(&mut self, bytes: &[u8]) {
        match Head::decode(bytes) {
            Ok(head) => {
                let number = head.ticket;
                self.outcome = Some(Outcome::Accepted { number });
            }
            Err(error) => self.give_up(&error.to_string()),
        }
    }

    fn note_doubt(&mut self, call: &Call) {
        let Call::WriteHead { bytes, .. } = call else {
            return;
        };
        if let Ok(head) = Head::decode(bytes)
            && let Some(hash) = head.ticket_hash
        {
            self.doubts.push(Doubt {
                number: head.ticket,
                hash,
            });
        }
        self.known = None;
    }

    fn fail(&mut self, reason: &str) {
        self.failures += 1;
        self.pause_due = true;
        if self.failures > MAX_FAILURES {
            self.give_up(reason);
        }
    }

    fn give_up(&mut self, reason: &str) {
        let reason = reason.to_owned();
        self.outcome = Some(if self.doubts.is_empty() {
            Outcome::NotAccepted(reason)
        } else {
            Outcome::Unknown(reason)
        });
    }
}

fn decode_ticket(chunk: &Chunk) -> Result<Ticket, Outcome> {
    Ticket::decode(chunk.bytes()).map_err(|error| Outcome::Unknown(error.to_string()))
}

fn not_whole(hash: &ContentHash) -> String {
    format!("chunk {hash} is missing or broken; submit its object again, from version control")
}
