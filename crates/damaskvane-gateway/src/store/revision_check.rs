//! Reads the store's revision at regular intervals, so that a watch whose response was lost is noticed.
//!
//! A revision is the number of the store's last change. A watch is a call that returns when the store has changes.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::time::{SpanMs, TimeMs};

use crate::adapter::Collection;
use crate::node::Node;
use crate::store::{CallError, Source, StoreClient};

/// Timeout of a call; a store that is 60 times slower than usual responds within this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Reads the store's revision while this instance watches the store, until the process ends.
pub async fn read_revisions(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Configuration);
    loop {
        node.store.until_source_is(Source::Store).await;
        let watching_since = node.now();
        tokio::select! {
            () = read_periodically(&node, &mut client, watching_since) => {}
            () = node.store.until_source_is_not(Source::Store) => {}
        }
    }
}

/// Reads the revision whenever no task has read it for a period.
async fn read_periodically(node: &Rc<Node>, client: &mut StoreClient, watching_since: TimeMs) {
    loop {
        let read_at = node.store.revision_read_at().unwrap_or(watching_since);
        let due_at = read_at.max(watching_since) + node.settings().revision_check_period();
        let wait = due_at.since(node.now());
        if wait > SpanMs::ZERO {
            tokio::time::sleep(wait.to_duration()).await;
            continue;
        }
        if let Err(error) = read_revision(node, client).await {
            slog::debug!(node.log.log, "cannot read the revision of the store; retrying";
                "error" => %error);
            node.store.until_up().await;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the store's revision, which may not be stale, and records it.
///
/// # Errors
///
/// Fails if the store doesn't respond, or if its response can't be decoded.
pub(super) async fn read_revision(
    node: &Rc<Node>,
    client: &mut StoreClient,
) -> Result<u64, CallError> {
    let request = node.adapter.revision_check();
    let body = client.call(&request, CALL_TIMEOUT).await?;
    let page = node.adapter.page(Collection::Configuration, &body);
    let revision = page.map_err(|_| CallError::Malformed)?.revision;
    node.store.record_revision(node.now(), revision);
    Ok(revision)
}
