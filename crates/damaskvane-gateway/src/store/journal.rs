//! The changes that this instance has heard, for those that hear from it.

use std::cell::RefCell;
use std::collections::BTreeMap;

use bytes::Bytes;
use damaskvane_routing::relay::{Batch, RelayLog, Since};
use tokio::sync::watch;

use crate::adapter::Collection;
use crate::store::FOLLOWED_COLLECTIONS;

/// A whole collection at a revision, as the store sent it: a list, and the changes since.
#[derive(Debug, Clone)]
pub struct Listing {
    /// The revision after the last change.
    pub revision: u64,
    /// The pages of the list.
    pub pages: Vec<Bytes>,
    /// The changes since the list, in order.
    pub changes: Vec<Bytes>,
}

/// What a reader of the journal gets next.
#[derive(Debug)]
pub enum Next {
    /// Nothing new.
    Nothing,
    /// Some changes.
    Batch(Batch<Bytes>),
    /// Everything, since what it lacks alone is no longer known.
    Listing(Listing),
    /// What it lacks is no longer known; what comes after this revision follows.
    Gone {
        /// The revision to go on from.
        resume_at: u64,
    },
}

#[derive(Debug)]
struct Entry {
    listing: Listing,
    log: RelayLog<Bytes>,
    /// Whether nothing is known to be missing.
    is_whole: bool,
}

/// The last list of each collection and the changes since, as the store sent them.
#[derive(Debug)]
pub struct Journal {
    entries: RefCell<BTreeMap<Collection, Entry>>,
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
    /// Begins a collection anew with a list.
    pub fn restart(&self, collection: Collection, listing: Listing) {
        let entry = Entry {
            log: RelayLog::new(listing.revision),
            listing,
            is_whole: true,
        };
        self.entries.borrow_mut().insert(collection, entry);
        self.additions.send_modify(|count| *count += 1);
    }

    /// Notes that changes of a collection were missed.
    ///
    /// An instance that must read a collection anew and can't would otherwise pass for a fresh source, as
    /// long as the store's age that it hears of is small.
    pub fn set_gap(&self, collection: Collection) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&collection) {
            entry.is_whole = false;
        }
    }

    /// Whether all collections are known, and none has a gap.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        let entries = self.entries.borrow();
        FOLLOWED_COLLECTIONS
            .iter()
            .all(|collection| entries.get(collection).is_some_and(|entry| entry.is_whole))
    }

    /// Adds changes.
    pub fn append(&self, collection: Collection, to: u64, body: Bytes) {
        let length = body.len();
        if let Some(entry) = self.entries.borrow_mut().get_mut(&collection) {
            entry.log.append(to, body, length);
        }
        self.additions.send_modify(|count| *count += 1);
    }

    /// What comes after a revision; nothing as long as the collection isn't known here.
    pub fn since(&self, collection: Collection, revision: u64) -> Next {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&collection) else {
            return Next::Nothing;
        };
        match entry.log.since(revision) {
            Since::UpToDate => Next::Nothing,
            Since::Next(batch) => Next::Batch(batch.clone()),
            // The list still connects to the changes that are kept.
            Since::Gone { .. } if entry.log.start() == entry.listing.revision => {
                let mut listing = entry.listing.clone();
                listing.revision = entry.log.end();
                listing.changes.extend(entry.log.bodies().cloned());
                Next::Listing(listing)
            }
            Since::Gone { resume_at } => Next::Gone { resume_at },
        }
    }

    /// Tells of additions.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.additions.subscribe()
    }
}
