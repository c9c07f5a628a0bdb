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
/// Delay after a check that failed, or that was answered from an earlier state of the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Checks the watches of one collection, over a connection of its own.
#[derive(Debug)]
pub(super) struct WatchCheck {
    node: Rc<Node>,
    collection: Collection,
    client: StoreClient,
}

impl WatchCheck {
    /// Creates a check that is not yet connected.
    pub(super) fn new(node: Rc<Node>, collection: Collection) -> Self {
        Self {
            client: StoreClient::new(Rc::clone(&node), collection),
            node,
            collection,
        }
    }

    /// Waits until a watch for the changes after `revision`, which is pending all the while, should have returned.
    ///
    /// Calls the store only after a new revision was read, since otherwise nothing can have changed.
    pub(super) async fn until_overdue(&mut self, revision: u64) {
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
        let digested = adapter.digest_keys(self.collection, body);
        let body = digested.map_err(|_| CallError::Malformed)?;
        let changes = adapter.changes(self.collection, &body);
        changes.map_err(|_| CallError::Malformed)
    }

    fn record_overdue(&self, revision: u64) {
        let collection = self.collection.as_str();
        let overdue = &self.node.metrics.overdue_watches;
        overdue.with_label_values(&[collection]).inc();
        slog::warn!(self.node.log.log, "a watch of the store has missed changes; watching again";
            "collection" => collection, "revision" => revision);
    }
}
