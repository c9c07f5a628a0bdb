//! Finds out whether the store answers.
//!
//! Only an instance that watches the store itself asks, or one that may have to. It reads its own record, stale data
//! allowed: such a call is the cheapest there is. Meanwhile the watches may wait for as long as they like.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::time::SpanMs;
use hyper::StatusCode;
use rand::RngExt;

use crate::adapter::Collection;
use crate::node::Node;
use crate::store::{CallError, Source, StoreClient};

/// The pause between two questions. The instances that hear from this one must hear within about a second that it
/// is cut off, so that they learn of a drain elsewhere in time.
const PERIOD_MS: u64 = 300;
/// The pause while another instance tells of changes because the store doesn't answer this one.
const LOST_PERIOD_MS: u64 = 800;
/// The pause of an instance that no other one relies on, while nobody tells it of changes: in an outage all ask.
const IDLE_PERIOD_MS: u64 = 1_500;
/// How long an answer may take: longer than a lost packet, or a store that is 60 times slower than usual.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Outages shorter than this make no entry lapse: servers miss three of their own writes before.
const LAPSING_OUTAGE_MS: u64 = 2_000;

/// Asks the store from time to time until the process ends.
pub async fn keep(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Instances);
    let request = node.adapter.contact(&node.record());
    loop {
        let is_relayed = node.store.source() == Source::Relay;
        if is_relayed && !node.store.is_own_contact_lost() {
            node.store.until_other_source(Source::Relay).await;
        }
        match client.call(&request, TIMEOUT).await {
            // That the record isn't written yet is an answer too.
            Ok(_) | Err(CallError::Status(StatusCode::NOT_FOUND)) => note_answer(&node),
            Err(error) => note_failure(&node, &error),
        }
        tokio::time::sleep(pause(&node)).await;
    }
}

/// The pause before the next question; instances that lost their relay together don't ask together.
fn pause(node: &Rc<Node>) -> Duration {
    let is_lost = node.store.is_own_contact_lost();
    let pause_ms = match node.store.source() {
        Source::Relay => LOST_PERIOD_MS,
        Source::Undecided if is_lost && node.relay_rank().is_none() => {
            rand::rng().random_range(IDLE_PERIOD_MS / 2..IDLE_PERIOD_MS * 3 / 2)
        }
        Source::Store | Source::Undecided => PERIOD_MS,
    };
    Duration::from_millis(pause_ms)
}

fn note_failure(node: &Rc<Node>, error: &CallError) {
    if !node.store.is_own_contact_lost() {
        slog::warn!(node.log.log, "store lost"; "error" => %error);
    }
    node.store.own_contact_lost();
    node.store.record_failed_call();
    // Where a relay tells of changes, what is known stays fresh.
    if node.store.source() != Source::Relay {
        node.store.failed();
    }
}

fn note_answer(node: &Rc<Node>) {
    let now = node.now();
    node.store.own_answered(now);
    note_return(node, node.store.record_answer(now, node.start_key()));
}

/// Takes in that the store answers again, this instance or the one it hears from, and how long it was away.
pub(super) fn note_return(node: &Rc<Node>, away: Option<SpanMs>) {
    let Some(away) = away else {
        return;
    };
    if away.get() >= LAPSING_OUTAGE_MS {
        let now = node.now();
        node.state.borrow_mut().pool.store_returned(now);
    }
    slog::info!(node.log.log, "store regained"; "away_ms" => away.get());
}
