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
/// Largest random delay of a call that any instance may make, in milliseconds for each instance: about the time in which
/// a change of the store reaches all of them.
const DELAY_MS_PER_INSTANCE: u64 = 100;
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
                if let Some(fingerprint) = queue.take_due(node.now())
                    && !write(&node, &mut client, fingerprint).await
                {
                    queue.push(node.now() + RETRY_DELAY + fleet_delay(&node), fingerprint);
                }
            }
            () = node.crashes.record_outdated.notified() => queue_outdated(&node, &mut outdated),
            () = until_due(&node, &outdated) => {
                if let Some(fingerprint) = outdated.take_due(node.now()) {
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
        node.now() + PEER_WRITE_DELAY + fleet_delay(node)
    }
}

/// Returns a random delay, longer in a large fleet.
///
/// What one instance writes or removes reaches the others before their own calls are due. Without the delay all instances
/// would make the same calls at the same moment, such as the return of the store after an outage.
fn fleet_delay(node: &Node) -> SpanMs {
    let instances = node.state.borrow().members.max_running_instances() as u64;
    SpanMs::new(rand::rng().random_range(0..=DELAY_MS_PER_INSTANCE * instances))
}

/// Waits until a record is due; forever if the queue is empty.
async fn until_due(node: &Node, queue: &WriteQueue) {
    let Some(at) = queue.next_due() else {
        return core::future::pending().await;
    };
    tokio::time::sleep(at.since(node.now()).to_duration()).await;
}

/// Writes the record of a refused request, unless the store has it; returns whether the store has it now.
async fn write(node: &Node, client: &mut StoreClient, fingerprint: Fingerprint) -> bool {
    if is_stored(node, fingerprint) || crashes::refusal(node, fingerprint).is_none() {
        return true;
    }
    if !node.store.is_up() {
        return false;
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
        outdated.push(node.now() + fleet_delay(node), fingerprint);
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
