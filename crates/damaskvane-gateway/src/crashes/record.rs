//! Writes and removes quarantine records in the platform's store.
//!
//! A quarantine is the refusal of a request that crashes backend servers. Without a record, a quarantine is lost when
//! all instances are killed, and the request would crash two more servers before it is refused again.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_dispatch::fingerprint::Fingerprint;
use hyper::StatusCode;
use rand::RngExt;
use tokio::time::MissedTickBehavior;

use crate::adapter::Collection;
use crate::crashes::{self, PendingRecord, WriteQueue};
use crate::node::Node;
use crate::store::{CallError, Source, StoreClient};

/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before a failed write is retried.
const RETRY_DELAY: SpanMs = SpanMs::new(500);
/// Delay before an instance writes a record if another instance detected the last incident (a crash caused by the
/// request). That instance should write the record.
///
/// The record of that instance normally arrives within 0.1 s: one call to the store and the forwarded change.
const PEER_WRITE_DELAY: SpanMs = SpanMs::new(1_000);
/// Largest delay of the removal of a record that this instance knows to be outdated, in milliseconds.
const MAX_REMOVAL_DELAY_MS: u64 = 500;
/// Interval between two checks for expired quarantine records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Writes records of refused requests and removes expired records, until the process ends.
pub async fn maintain(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Quarantine);
    let pending_records = node.crashes.pending_records.1.clone();
    let mut queue = WriteQueue::default();
    let mut outdated = WriteQueue::default();
    let mut expiry = tokio::time::interval(EXPIRY_INTERVAL);
    expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            pending = pending_records.recv_async() => {
                let Ok(pending) = pending else {
                    return;
                };
                queue.push(due_at(&node, pending), pending.fingerprint);
            }
            () = until_due(&node, &queue) => {
                while let Some(fingerprint) = queue.take_due(node.now()) {
                    if !write(&node, &mut client, fingerprint).await {
                        queue.push(node.now() + RETRY_DELAY, fingerprint);
                        break;
                    }
                }
            }
            () = node.crashes.record_outdated.notified() => queue_outdated(&node, &mut outdated),
            () = until_due(&node, &outdated) => {
                while let Some(fingerprint) = outdated.take_due(node.now()) {
                    remove_if_released(&node, &mut client, fingerprint).await;
                }
            }
            _ = expiry.tick() => {
                crashes::expire(&node);
                remove_expired(&node, &mut client).await;
            }
        }
    }
}

fn due_at(node: &Node, pending: PendingRecord) -> TimeMs {
    if pending.is_own {
        node.now()
    } else {
        node.now() + PEER_WRITE_DELAY
    }
}

/// Waits until a record is due and the store answers; forever if the queue is empty.
async fn until_due(node: &Node, queue: &WriteQueue) {
    let Some(at) = queue.next_due() else {
        return core::future::pending().await;
    };
    tokio::time::sleep(at.since(node.now()).to_duration()).await;
    node.store.until_up().await;
}

/// Writes the record of a refused request, unless the store has it; returns whether the store has it now.
async fn write(node: &Node, client: &mut StoreClient, fingerprint: Fingerprint) -> bool {
    if is_stored(node, fingerprint) || crashes::refusal(node, fingerprint).is_none() {
        return true;
    }
    let request = node.adapter.record_quarantine(&fingerprint);
    match client.call(&request, CALL_TIMEOUT).await {
        // A conflict means that another instance has written the record.
        Ok(_) | Err(CallError::Status(StatusCode::CONFLICT)) => {
            crashes::apply_stored_quarantine(node, fingerprint);
            true
        }
        Err(error) => {
            slog::warn!(node.log.log, "quarantine record can't be written";
                "fingerprint" => %fingerprint, "error" => %error);
            false
        }
    }
}

fn is_stored(node: &Node, fingerprint: Fingerprint) -> bool {
    node.crashes.stored.borrow().contains(&fingerprint)
}

/// Removes the records of requests that may run again, if this instance watches the store itself.
///
/// Few instances watch the store, so the removal of a record costs at most two calls in each zone.
async fn remove_expired(node: &Rc<Node>, client: &mut StoreClient) {
    if node.store.source() != Source::Store {
        return;
    }
    for fingerprint in released_records(node) {
        remove_if_released(node, client, fingerprint).await;
    }
}

/// Queues the removal of records of requests that may run again, whoever watches the store.
///
/// Only instances that know that a request completed let it run in spite of its record, and the instance that watches
/// the store may not know. With the random delay, one removal usually reaches all others before their own is due.
fn queue_outdated(node: &Node, outdated: &mut WriteQueue) {
    for fingerprint in released_records(node) {
        let delay_ms = rand::rng().random_range(0..=MAX_REMOVAL_DELAY_MS);
        outdated.push(node.now() + SpanMs::new(delay_ms), fingerprint);
    }
}

/// Returns the requests that may run although the store has a record of them.
fn released_records(node: &Node) -> Vec<Fingerprint> {
    let stored = node.crashes.stored.borrow();
    let released = stored
        .iter()
        .filter(|one| crashes::refusal(node, **one).is_none());
    released.copied().collect()
}

async fn remove_if_released(node: &Node, client: &mut StoreClient, fingerprint: Fingerprint) {
    if !is_stored(node, fingerprint) || crashes::refusal(node, fingerprint).is_some() {
        return;
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
