//! Changes of the store that instances of a zone hand on to each other.
//!
//! Each return of a watch is a call on the store that is paid for, and every instance needs every change.
//! Two instances of a zone watch the store; the others hear from them. What was heard is kept for a while, so
//! that one that connects late, or changes its source, misses nothing.
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

/// Most bytes of changes that are kept: a large configuration is about a hundred kilobytes.
const MOST_BYTES: usize = 4 << 20;

/// Some changes, and the revisions that they lead from and to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch<B> {
    /// Whoever is at this revision, or later, misses nothing before the batch.
    pub from: u64,
    /// The revision after it.
    pub to: u64,
    /// The changes.
    pub body: B,
}

/// What somebody at a revision has missed.
#[derive(Debug, PartialEq, Eq)]
pub enum Since<'a, B> {
    /// Nothing.
    UpToDate,
    /// This batch comes next.
    Next(&'a Batch<B>),
    /// It is no longer known; everything must be read anew, and what comes after this revision follows.
    Compacted {
        /// The revision after the last batch.
        resume_at: u64,
    },
}

/// The last changes of one collection.
#[derive(Debug, Clone)]
pub struct RelayLog<B> {
    /// The revision before the first batch.
    start: u64,
    /// The revision after the last batch.
    end: u64,
    batches: VecDeque<(Batch<B>, usize)>,
    bytes: usize,
}

impl<B> RelayLog<B> {
    /// An empty log that begins at a revision.
    #[must_use]
    pub const fn new(revision: u64) -> Self {
        Self {
            start: revision,
            end: revision,
            batches: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Adds the changes that lead to a revision.
    ///
    /// A batch begins where the one before it ends, also if the store's revision has moved on between
    /// them: nothing of this collection changed meanwhile.
    pub fn append(&mut self, to: u64, body: B, bytes: usize) {
        let from = self.end;
        if to <= from {
            return;
        }
        self.batches.push_back((Batch { from, to, body }, bytes));
        self.end = to;
        self.bytes += bytes;
        while self.bytes > MOST_BYTES && self.batches.len() > 1 {
            if let Some((batch, bytes)) = self.batches.pop_front() {
                self.bytes -= bytes;
                self.start = batch.to;
            }
        }
    }

    /// The revision before the first batch that is kept.
    #[must_use]
    pub const fn start(&self) -> u64 {
        self.start
    }

    /// The revision after the last batch.
    #[must_use]
    pub const fn end(&self) -> u64 {
        self.end
    }

    /// The changes that are kept, in order.
    pub fn bodies(&self) -> impl Iterator<Item = &B> {
        self.batches.iter().map(|(batch, _)| &batch.body)
    }

    /// What comes after a revision.
    #[must_use]
    pub fn since(&self, revision: u64) -> Since<'_, B> {
        if revision >= self.end {
            return Since::UpToDate;
        }
        if revision < self.start {
            return self.gone();
        }
        let next = self.batches.iter().find(|(batch, _)| revision < batch.to);
        next.map_or_else(|| self.gone(), |(batch, _)| Since::Next(batch))
    }

    const fn gone(&self) -> Since<'_, B> {
        Since::Compacted {
            resume_at: self.end,
        }
    }
}
