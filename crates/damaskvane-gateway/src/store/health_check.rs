//! Checks periodically whether the platform's store answers calls of this instance.
//!
//! A watch is a call that returns when the store has changes. An instance runs the check only if it watches the store
//! or may have to. The check reads the instance's own record and accepts stale data, which is the cheapest call. Thanks
//! to the check, watches may wait as long as they need.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::time::SpanMs;
use hyper::StatusCode;
use rand::RngExt;

use crate::adapter::Collection;
use crate::node::Node;
use crate::store::{CallError, Source, StoreClient};

/// Interval between two checks. The subscribers, which receive the store's changes from this instance, must detect
/// within about a second that this instance can't reach the store. They then learn in time from another source that a
/// server drains.
pub(super) const CHECK_INTERVAL_MS: u64 = 300;
/// Interval while a relay, another instance, sends changes because the store does not answer this instance.
const RELAYED_CHECK_INTERVAL_MS: u64 = 800;
/// Average interval during an outage for an instance that has no subscribers and no source of changes, because all
/// instances check the store then.
const IDLE_CHECK_INTERVAL_MS: u64 = 1_500;
/// Timeout of a check. A lost packet is retransmitted within this time, and a store that is 60 times slower than usual
/// responds within this time.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Minimum duration of an outage of the store after which servers with expired entries are retained for a grace period.
/// No entry expires in a shorter outage: a server misses three writes of its entry before the entry expires.
const EXPIRING_OUTAGE_MS: u64 = 2_000;

/// Runs the periodic checks until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Instances);
    let request = node.adapter.ping(&node.own_record());
    loop {
        let is_relayed = node.store.source() == Source::Relay;
        if is_relayed && !node.store.is_direct_access_lost() {
            node.store.until_source_is_not(Source::Relay).await;
        }
        match client.call(&request, TIMEOUT).await {
            // The response that the instance's record does not exist yet also shows that the store is up.
            Ok(_) | Err(CallError::Status(StatusCode::NOT_FOUND)) => handle_answer(&node),
            Err(error) => handle_failure(&node, &error),
        }
        tokio::time::sleep(check_interval(&node)).await;
    }
}

/// Returns the time until the next check. The time is random for instances that have lost their relay, so that they do
/// not call the store at the same time.
fn check_interval(node: &Rc<Node>) -> Duration {
    let is_access_lost = node.store.is_direct_access_lost();
    let interval_ms = match node.store.source() {
        Source::Relay => RELAYED_CHECK_INTERVAL_MS,
        Source::Undecided if is_access_lost && node.relay_rank().is_none() => {
            rand::rng().random_range(IDLE_CHECK_INTERVAL_MS / 2..IDLE_CHECK_INTERVAL_MS * 3 / 2)
        }
        Source::Store | Source::Undecided => CHECK_INTERVAL_MS,
    };
    Duration::from_millis(interval_ms)
}

fn handle_failure(node: &Rc<Node>, error: &CallError) {
    if !node.store.is_direct_access_lost() {
        slog::warn!(node.log.log, "store lost"; "error" => %error);
    }
    node.store.record_direct_failure();
    node.store.record_failed_call();
    // With a relay as source the data stays fresh, so the store is not marked as down.
    if node.store.source() != Source::Relay {
        node.store.mark_down();
    }
}

fn handle_answer(node: &Rc<Node>) {
    let now = node.now();
    node.store.record_direct_answer(now);
    handle_recovery(node, node.store.record_answer(now, node.incarnation_key()));
}

/// Handles the recovery of the store. `outage` is the duration of the outage, or `None` if the store was not down.
pub(super) fn handle_recovery(node: &Rc<Node>, outage: Option<SpanMs>) {
    let Some(outage) = outage else {
        return;
    };
    if outage.get() >= EXPIRING_OUTAGE_MS {
        let now = node.now();
        node.state.borrow_mut().pool.store_returned(now);
    }
    slog::info!(node.log.log, "store regained"; "away_ms" => outage.get());
}
