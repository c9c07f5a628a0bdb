//! Retains the store's data that this instance received, for its subscribers, which are other instances that receive
//! the store's changes from it.
//!
//! A collection is the set of the store's objects of one kind; a revision is the number of the store's last change.

use std::cell::RefCell;
use std::collections::BTreeMap;

use bytes::Bytes;
use damaskvane_routing::relay::{Batch, RelayLog, Since};
use tokio::sync::watch;

use crate::adapter::Collection;
use crate::store::FOLLOWED_COLLECTIONS;

/// A whole collection at a revision, in the store's own encoding: a list and the changes since the list was read.
#[derive(Debug, Clone)]
pub struct Listing {
    /// Revision after the last change.
    pub revision: u64,
    /// Pages of the list, as the store sent them.
    pub pages: Vec<Bytes>,
    /// Responses with the changes since the list was read, in order.
    pub changes: Vec<Bytes>,
}

/// What a subscriber at a revision has to receive next.
#[derive(Debug)]
pub enum JournalRead {
    /// Nothing: the subscriber has all changes, or this instance has not read the collection yet.
    UpToDate,
    /// The changes that follow the subscriber's revision.
    Batch(Batch<Bytes>),
    /// The whole collection, because the changes that the subscriber lacks are no longer retained.
    Listing(Listing),
    /// The changes that the subscriber lacks are no longer retained, and neither is the list before them. The
    /// subscriber has to read the whole collection again.
    HistoryGone {
        /// Revision after which changes are sent again.
        resume_at: u64,
    },
}

#[derive(Debug)]
struct CollectionLog {
    listing: Listing,
    log: RelayLog<Bytes>,
    /// Whether this instance has received all changes of the collection up to the log's end, as far as it knows.
    is_complete: bool,
}

/// The last list of each collection and the changes since, as the store sent them.
#[derive(Debug)]
pub struct Journal {
    entries: RefCell<BTreeMap<Collection, CollectionLog>>,
    additions: watch::Sender<u64>,
}

impl Default for Journal {
    fn default() -> Self {
        Self {
            entries: RefCell::default(),
            additions: watch::Sender::new(0),
        }
    }
}

impl Journal {
    /// Replaces the retained data of a collection by a new listing.
    pub fn reset(&self, collection: Collection, listing: Listing) {
        let entry = CollectionLog {
            log: RelayLog::new(listing.revision),
            listing,
            is_complete: true,
        };
        self.entries.borrow_mut().insert(collection, entry);
        self.additions.send_modify(|count| *count += 1);
    }

    /// Records that changes of a collection were missed.
    ///
    /// Otherwise an instance that must read a collection again and can't would be taken for a source with fresh data,
    /// as long as its relay reports a recent response of the store.
    pub fn mark_gap(&self, collection: Collection) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&collection) {
            entry.is_complete = false;
        }
    }

    /// Returns whether all followed collections are present and no changes are missing.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let entries = self.entries.borrow();
        FOLLOWED_COLLECTIONS.iter().all(|collection| {
            entries
                .get(collection)
                .is_some_and(|entry| entry.is_complete)
        })
    }

    /// Appends the changes of a collection up to the revision `to`, and notifies the receivers that
    /// [`Journal::subscribe`] returned.
    pub fn append(&self, collection: Collection, to: u64, body: Bytes) {
        let length = body.len();
        if let Some(entry) = self.entries.borrow_mut().get_mut(&collection) {
            entry.log.append(to, body, length);
        }
        self.additions.send_modify(|count| *count += 1);
    }

    /// Returns the next data for a subscriber that has received a collection up to `revision`.
    pub fn since(&self, collection: Collection, revision: u64) -> JournalRead {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&collection) else {
            return JournalRead::UpToDate;
        };
        match entry.log.since(revision) {
            Since::UpToDate => JournalRead::UpToDate,
            Since::Next(batch) => JournalRead::Batch(batch.clone()),
            // All changes since the list are retained, so the list and these changes are the whole collection.
            Since::Compacted { .. } if entry.log.start() == entry.listing.revision => {
                let mut listing = entry.listing.clone();
                listing.revision = entry.log.end();
                listing.changes.extend(entry.log.bodies().cloned());
                JournalRead::Listing(listing)
            }
            Since::Compacted { resume_at } => JournalRead::HistoryGone { resume_at },
        }
    }

    /// Returns a receiver that is notified when data is added.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.additions.subscribe()
    }
}
