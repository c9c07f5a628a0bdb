//! Finds out whether the store answers.
//!
//! Only an instance that watches the store itself asks. It reads its own record, stale data allowed: such a
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
/// How long an answer may take: longer than a lost packet, or a store that is 60 times slower than usual.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Outages shorter than this make no entry lapse: servers miss three of their own writes before.
const LAPSING_OUTAGE_MS: u64 = 2_000;

/// Asks the store from time to time until the process ends.
pub async fn keep(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Instances);
    let request = node.adapter.contact(&node.settings().instance);
    loop {
        if node.store.source() == Source::Relay {
            node.store.until_other_source(Source::Relay).await;
        }
        match client.call(&request, TIMEOUT).await {
            // That the record isn't written yet is an answer too.
            Ok(_) | Err(CallError::Status(StatusCode::NOT_FOUND)) => note_answer(&node),
            Err(error) => {
                if node.store.failed() {
                    slog::warn!(node.log.log, "store lost"; "error" => %error);
                }
            }
        }
        tokio::time::sleep(PERIOD).await;
    }
}

fn note_answer(node: &Rc<Node>) {
    let now = node.now();
    let Some(away) = node.store.answered(now) else {
        return;
    };
    if away.get() >= LAPSING_OUTAGE_MS {
        node.state.borrow_mut().pool.store_returned(now);
    }
    slog::info!(node.log.log, "store regained"; "away_ms" => away.get());
}
