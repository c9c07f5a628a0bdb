//! Checks periodically whether the store answers this instance.
//!
//! Only an instance that watches the store, or may have to, runs the check. It reads its own record, stale
//! data allowed, which is the cheapest call there is. The watches can then wait as long as they need.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::time::SpanMs;
use hyper::StatusCode;
use rand::RngExt;

use crate::adapter::Collection;
use crate::node::Node;
use crate::store::{CallError, Source, StoreClient};

/// Interval between two checks. The subscribers of this instance must learn within about a second that it is
/// cut off from the store, so that they receive a drain in time from another source.
const CHECK_INTERVAL_MS: u64 = 300;
/// Interval while a relay sends changes because the store does not answer this instance.
const RELAYED_CHECK_INTERVAL_MS: u64 = 800;
/// Average interval during an outage for an instance that has no subscribers and no source of changes,
/// because all instances check then.
const IDLE_CHECK_INTERVAL_MS: u64 = 1_500;
/// Timeout of a check. It is longer than a lost packet needs to be retransmitted, and than a store that is 60
/// times slower than usual needs to respond.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Shortest outage after which expired server entries get a grace period. No entry expires in a shorter
/// outage: a server misses three of its own writes before its entry expires.
const EXPIRING_OUTAGE_MS: u64 = 2_000;

/// Checks the store until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Instances);
    let request = node.adapter.ping(&node.own_record());
    loop {
        let is_relayed = node.store.source() == Source::Relay;
        if is_relayed && !node.store.is_direct_access_lost() {
            node.store.until_source_is_not(Source::Relay).await;
        }
        match client.call(&request, TIMEOUT).await {
            // A record that is not written yet is a response too.
            Ok(_) | Err(CallError::Status(StatusCode::NOT_FOUND)) => handle_answer(&node),
            Err(error) => handle_failure(&node, &error),
        }
        tokio::time::sleep(check_interval(&node)).await;
    }
}

/// Returns the time until the next check. It is random for instances that have lost their relay, so that they
/// do not call the store together.
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

/// Handles the recovery of the store, which answered this instance or its relay after an outage.
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
