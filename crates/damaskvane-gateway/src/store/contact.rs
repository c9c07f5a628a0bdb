//! Finds out whether the store answers.
//!
//! Only an instance that watches the store itself asks, or one that would if the store answered it. It reads its own record, stale data allowed: such a
//! call is the cheapest there is. Meanwhile the watches may wait for as long as they like.

use core::time::Duration;
use std::rc::Rc;

use hyper::StatusCode;

use crate::adapter::Collection;
use crate::node::Node;
use crate::store::{CallError, Source, StoreClient};

/// The pause between two questions. A zone's other instances must hear within about a second that their
/// relay is cut off, so that they learn of a drain themselves in time.
const PERIOD: Duration = Duration::from_millis(300);
/// The pause while another instance tells of changes because the store doesn't answer this one.
const LOST_PERIOD: Duration = Duration::from_millis(800);
/// How long an answer may take: longer than a lost packet, or a store that is 60 times slower than usual.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Outages shorter than this make no entry lapse: servers miss three of their own writes before.
const LAPSING_OUTAGE_MS: u64 = 2_000;

/// Asks the store from time to time until the process ends.
pub async fn keep(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Instances);
    let request = node.adapter.contact(&node.settings().instance);
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
        let period = if node.store.source() == Source::Relay {
            LOST_PERIOD
        } else {
            PERIOD
        };
        tokio::time::sleep(period).await;
    }
}

fn note_failure(node: &Rc<Node>, error: &CallError) {
    if !node.store.is_own_contact_lost() {
        slog::warn!(node.log.log, "store lost"; "error" => %error);
    }
    node.store.set_own_contact_lost(true);
    node.store.left_open();
    // Where a relay tells of changes, what is known stays fresh.
    if node.store.source() != Source::Relay {
        node.store.failed();
    }
}

fn note_answer(node: &Rc<Node>) {
    let now = node.now();
    node.store.set_own_contact_lost(false);
    let Some(away) = node.store.answered(now) else {
        return;
    };
    if away.get() >= LAPSING_OUTAGE_MS {
        node.state.borrow_mut().pool.store_returned(now);
    }
    slog::info!(node.log.log, "store regained"; "away_ms" => away.get());
}
