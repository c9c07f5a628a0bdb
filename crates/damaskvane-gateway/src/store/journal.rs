//! The changes that this instance has heard, for those that hear from it.

use std::cell::RefCell;
use std::collections::BTreeMap;

use bytes::Bytes;
use damaskvane_routing::relay::{Batch, RelayLog, Since};
use tokio::sync::watch;

use crate::adapter::Collection;

/// What a reader of the journal gets next.
#[derive(Debug)]
pub enum Next {
    /// Nothing new.
    Nothing,
    /// Some changes.
    Batch(Batch<Bytes>),
    /// What it lacks is no longer known; what comes after this revision follows.
    Gone {
        /// The revision to go on from.
        resume_at: u64,
    },
}

/// The last changes of each collection, as the store sent them.
#[derive(Debug)]
pub struct Journal {
    logs: RefCell<BTreeMap<Collection, RelayLog<Bytes>>>,
    additions: watch::Sender<u64>,
}

impl Default for Journal {
    fn default() -> Self {
        Self {
            logs: RefCell::default(),
            additions: watch::Sender::new(0),
        }
    }
}

impl Journal {
    /// Begins a collection anew at the revision of a list.
    pub fn restart(&self, collection: Collection, revision: u64) {
        let log = RelayLog::new(revision);
        self.logs.borrow_mut().insert(collection, log);
    }

    /// Adds changes.
    pub fn append(&self, collection: Collection, to: u64, body: Bytes) {
        let length = body.len();
        if let Some(log) = self.logs.borrow_mut().get_mut(&collection) {
            log.append(to, body, length);
        }
        self.additions.send_modify(|count| *count += 1);
    }

    /// What comes after a revision; nothing as long as the collection isn't known here.
    pub fn since(&self, collection: Collection, revision: u64) -> Next {
        let logs = self.logs.borrow();
        match logs.get(&collection).map(|log| log.since(revision)) {
            None | Some(Since::UpToDate) => Next::Nothing,
            Some(Since::Next(batch)) => Next::Batch(batch.clone()),
            Some(Since::Gone { resume_at }) => Next::Gone { resume_at },
        }
    }

    /// Tells of additions.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.additions.subscribe()
    }
}
