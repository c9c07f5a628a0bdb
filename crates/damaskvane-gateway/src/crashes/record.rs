//! Writes and removes quarantine records in the platform's store.
//!
//! A quarantine is the refusal of a request that crashes backend servers. Without a record, a quarantine is lost when
//! all instances are killed, and the request would crash two more servers before it is refused again.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_dispatch::fingerprint::Fingerprint;
use hyper::StatusCode;

use crate::adapter::Collection;
use crate::crashes::{self, PendingRecord};
use crate::node::Node;
use crate::store::{CallError, Source, StoreClient};

/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay before an instance writes a record if another instance detected the last incident (a crash caused by the
/// request). That instance should write the record.
///
/// The record of that instance normally arrives within 0.1 s: one call to the store and the forwarded change.
const PEER_WRITE_DELAY: Duration = Duration::from_millis(1_000);
/// Interval between two checks for expired quarantine records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Writes records of refused requests and removes expired records, until the process ends.
pub async fn maintain(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Quarantine);
    let pending_records = node.crashes.pending_records.1.clone();
    loop {
        tokio::select! {
            pending = pending_records.recv_async() => {
                let Ok(pending) = pending else {
                    return;
                };
                record(&node, &mut client, pending).await;
            }
            () = tokio::time::sleep(EXPIRY_INTERVAL) => {
                crashes::expire(&node);
                remove_expired(&node, &mut client).await;
            }
        }
    }
}

async fn record(node: &Rc<Node>, client: &mut StoreClient, pending: PendingRecord) {
    if !pending.is_own {
        tokio::time::sleep(PEER_WRITE_DELAY).await;
    }
    let request = node.adapter.record_quarantine(&pending.fingerprint);
    while !is_stored(node, pending.fingerprint) {
        match client.call(&request, CALL_TIMEOUT).await {
            // A conflict means that another instance has written the record.
            Ok(_) | Err(CallError::Status(StatusCode::CONFLICT)) => {
                crashes::apply_stored_quarantine(node, pending.fingerprint);
            }
            Err(error) => {
                slog::warn!(node.log.log, "quarantine record can't be written";
                    "fingerprint" => %pending.fingerprint, "error" => %error);
                node.store.until_up().await;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn is_stored(node: &Node, fingerprint: Fingerprint) -> bool {
    node.crashes.stored.borrow().contains(&fingerprint)
}

/// Removes expired records, if this instance watches the store itself.
///
/// Few instances watch the store, so the removal of a record costs at most two calls in each zone.
async fn remove_expired(node: &Rc<Node>, client: &mut StoreClient) {
    if node.store.source() != Source::Store {
        return;
    }
    let stored = node.crashes.stored.borrow().clone();
    for fingerprint in stored {
        if crashes::refusal(node, fingerprint).is_some() {
            continue;
        }
        let request = node.adapter.remove_quarantine(&fingerprint);
        match client.call(&request, CALL_TIMEOUT).await {
            Ok(_) | Err(CallError::Status(StatusCode::NOT_FOUND)) => {
                crashes::release_quarantine(node, fingerprint);
            }
            // The removal is tried again after `EXPIRY_INTERVAL`.
            Err(error) => slog::warn!(node.log.log, "quarantine record can't be removed";
                "fingerprint" => %fingerprint, "error" => %error),
        }
    }
}
