//! Checks whether a pending watch of the store should have returned.
//!
//! A watch is a call that returns when the store has changes of one collection. The store may lose the response to one
//! call and answer all others at once, also those of the health check. Such a watch would return when its wait is over,
//! and until then this instance and its subscribers would go by old data.

use core::time::Duration;
use std::rc::Rc;

use crate::adapter::{Changes, Collection, StorePurpose, StoreRequest};
use crate::node::Node;
use crate::store::{CallError, StoreClient};

/// Timeout of a check; a store that is 60 times slower than usual responds within this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for the watch's own response, which the store may have sent at the same moment as that to the check.
const RESPONSE_SLACK: Duration = Duration::from_millis(100);
/// Time that a new watch gets before it is checked: it opens a connection, and returns at once if there are changes.
const MIN_AGE: Duration = Duration::from_millis(900);
/// Maximum number of times that this time is doubled for watches from the same revision.
const MAX_DOUBLINGS: u32 = 3;
/// Delay after a check that failed, or that was answered from an earlier state of the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Checks the watches of one collection, over a connection of its own.
#[derive(Debug)]
pub(super) struct WatchCheck {
    node: Rc<Node>,
    collection: Collection,
    client: StoreClient,
    overdue: OverdueWatches,
}

/// The last watches that were overdue.
#[derive(Debug, Default)]
struct OverdueWatches {
    /// The revision from which they watched.
    revision: u64,
    /// The number of them in a row.
    in_a_row: u32,
}

impl OverdueWatches {
    fn in_a_row_from(&self, revision: u64) -> u32 {
        if self.revision == revision {
            self.in_a_row
        } else {
            0
        }
    }

    fn record(&mut self, revision: u64) {
        self.in_a_row = self.in_a_row_from(revision).saturating_add(1);
        self.revision = revision;
    }
}

impl WatchCheck {
    /// Creates a check that is not yet connected.
    pub(super) fn new(node: Rc<Node>, collection: Collection) -> Self {
        Self {
            client: StoreClient::new(Rc::clone(&node), collection),
            node,
            collection,
            overdue: OverdueWatches::default(),
        }
    }

    /// Waits until a watch for the changes after `revision`, which is pending all the while, should have returned.
    ///
    /// Calls the store only after a new revision was read, since otherwise nothing can have changed.
    pub(super) async fn until_overdue(&mut self, revision: u64) {
        tokio::time::sleep(self.min_age(revision)).await;
        let mut checked_revision = revision;
        loop {
            let store_revision = self.node.store.until_revision_after(checked_revision).await;
            match self.changes_after(checked_revision).await {
                Ok(changes) if changes.events.is_empty() => {
                    checked_revision = checked_revision.max(changes.revision);
                    if checked_revision < store_revision {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
                // The watch would get the same response, or may have been forgotten with the history.
                Ok(_) | Err(CallError::HistoryGone) => break,
                Err(_) => {
                    self.node.store.until_up().await;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        tokio::time::sleep(RESPONSE_SLACK).await;
        self.record_overdue(revision);
    }

    /// Returns the changes of the collection after `revision`, without waiting for any.
    async fn changes_after(&mut self, revision: u64) -> Result<Changes, CallError> {
        let adapter = &self.node.adapter;
        let request = StoreRequest {
            purpose: StorePurpose::WatchCheck,
            ..adapter.watch(self.collection, revision, 0)
        };
        let body = self.client.call(&request, CALL_TIMEOUT).await?;
        let changes = adapter.changes(self.collection, &body);
        changes.map_err(|_| CallError::Malformed)
    }

    /// Returns the time that a watch gets before it is checked. The time grows from one overdue watch to the next, so that
    /// a store that responds slowly, but faster to the check, is not called again before it has responded.
    fn min_age(&self, revision: u64) -> Duration {
        let doublings = self.overdue.in_a_row_from(revision).min(MAX_DOUBLINGS);
        MIN_AGE * 2_u32.pow(doublings)
    }

    fn record_overdue(&mut self, revision: u64) {
        self.overdue.record(revision);
        let collection = self.collection.as_str();
        let overdue = &self.node.metrics.overdue_watches;
        overdue.with_label_values(&[collection]).inc();
        slog::warn!(self.node.log.log, "a watch of the store has missed changes; watching again";
            "collection" => collection, "revision" => revision);
    }
}
