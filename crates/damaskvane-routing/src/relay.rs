//! A log of changes in the platform's store that instances of a zone relay to each other.
//!
//! A watch is a call that returns when the store has changes. Every instance needs every change, but each response to a
//! watch is a call that is paid for. A collection is the set of the store's objects of one kind; a revision is the
//! number of the store's last change. Two instances of a zone watch the store and relay the changes to the other
//! instances. The log retains recent changes, so that an instance that connects late, or switches to another source,
//! misses no change.
//!
//! ```
//! use damaskvane_routing::relay;
//!
//! let mut log = relay::RelayLog::new(10);
//! log.append(12, "a change", 8);
//! assert!(matches!(log.since(12), relay::Since::UpToDate));
//! assert!(matches!(log.since(9), relay::Since::Compacted { resume_at: 12 }));
//! ```

use std::collections::VecDeque;

/// Maximum size in bytes of the changes that a log retains; a large configuration has about a hundred kilobytes.
const MAX_BYTES: usize = 4 << 20;

/// The changes of a collection between two revisions of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch<B> {
    /// Revision before the batch. A receiver that has this revision or a later one lacks no change before the batch.
    pub from: u64,
    /// Revision that a receiver has after it has applied the batch.
    pub to: u64,
    /// Changes, in the form in which they were passed to [`RelayLog::append`].
    pub body: B,
}

/// The result of [`RelayLog::since`]: the changes that follow a revision.
#[derive(Debug, PartialEq, Eq)]
pub enum Since<'a, B> {
    /// No changes follow.
    UpToDate,
    /// The batch that follows the revision.
    Next(&'a Batch<B>),
    /// The changes after the revision are no longer available. The receiver has to read the collection from the store
    /// again; later changes of the log follow `resume_at`.
    Compacted {
        /// Revision after the last batch.
        resume_at: u64,
    },
}

/// The most recent changes of one collection of the store, in order.
#[derive(Debug, Clone)]
pub struct RelayLog<B> {
    /// Revision before the first retained batch.
    start: u64,
    /// Revision after the last batch.
    end: u64,
    batches: VecDeque<(Batch<B>, usize)>,
    bytes: usize,
}

impl<B> RelayLog<B> {
    /// Returns an empty log that starts at a revision.
    #[must_use]
    pub const fn new(revision: u64) -> Self {
        Self {
            start: revision,
            end: revision,
            batches: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Appends the changes that lead to revision `to`; `bytes` is the size of `body`.
    ///
    /// A batch starts at the revision at which the previous batch ends, even if other collections have advanced the
    /// store's revision since then, because this collection didn't change in between. A batch that doesn't lead past
    /// the end of the log is ignored.
    pub fn append(&mut self, to: u64, body: B, bytes: usize) {
        let from = self.end;
        if to <= from {
            return;
        }
        self.batches.push_back((Batch { from, to, body }, bytes));
        self.end = to;
        self.bytes += bytes;
        while self.bytes > MAX_BYTES && self.batches.len() > 1 {
            if let Some((batch, bytes)) = self.batches.pop_front() {
                self.bytes -= bytes;
                self.start = batch.to;
            }
        }
    }

    /// Returns the revision before the first retained batch.
    #[must_use]
    pub const fn start(&self) -> u64 {
        self.start
    }

    /// Returns the revision after the last batch.
    #[must_use]
    pub const fn end(&self) -> u64 {
        self.end
    }

    /// Returns the retained changes, the oldest first.
    pub fn bodies(&self) -> impl Iterator<Item = &B> {
        self.batches.iter().map(|(batch, _)| &batch.body)
    }

    /// Returns the changes that follow a revision, one batch at a time.
    #[must_use]
    pub fn since(&self, revision: u64) -> Since<'_, B> {
        if revision >= self.end {
            return Since::UpToDate;
        }
        if revision < self.start {
            return self.compacted();
        }
        let next = self.batches.iter().find(|(batch, _)| revision < batch.to);
        next.map_or_else(|| self.compacted(), |(batch, _)| Since::Next(batch))
    }

    const fn compacted(&self) -> Since<'_, B> {
        Since::Compacted {
            resume_at: self.end,
        }
    }
}
