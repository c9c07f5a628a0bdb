//! Records of refused requests in the store.
//!
//! What is only told between instances is lost when all of them are killed, and a request that had crashed
//! two servers would crash two more before it is known again.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_dispatch::fingerprint::Fingerprint;
use hyper::StatusCode;

use crate::adapter::Collection;
use crate::crashes::{self, Finding};
use crate::node::Node;
use crate::store::{CallError, Source, StoreClient};

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The pause after a failure.
const PAUSE: Duration = Duration::from_millis(500);
/// How long an instance waits for the record of the one that saw the last incident, before it writes the
/// record itself: a call on the store and the change on its way, 0.1 s on a calm day.
const OTHERS_FIRST: Duration = Duration::from_millis(1_000);
/// The pause between two looks for records whose time is over.
const EXPIRY_PERIOD: Duration = Duration::from_secs(10);

/// Records refused requests, and removes records whose time is over, until the process ends.
pub async fn keep(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Quarantine);
    let findings = node.crashes.findings.1.clone();
    loop {
        tokio::select! {
            finding = findings.recv_async() => {
                let Ok(finding) = finding else {
                    return;
                };
                record(&node, &mut client, finding).await;
            }
            () = tokio::time::sleep(EXPIRY_PERIOD) => {
                crashes::expire(&node);
                remove_expired(&node, &mut client).await;
            }
        }
    }
}

async fn record(node: &Rc<Node>, client: &mut StoreClient, finding: Finding) {
    if !finding.is_own {
        tokio::time::sleep(OTHERS_FIRST).await;
    }
    let request = node.adapter.record_quarantine(&finding.fingerprint);
    while !is_recorded(node, finding.fingerprint) {
        match client.call(&request, CALL_TIMEOUT).await {
            // Another instance was faster.
            Ok(_) | Err(CallError::Status(StatusCode::CONFLICT)) => {
                crashes::apply_stored_quarantine(node, finding.fingerprint);
            }
            Err(error) => {
                slog::warn!(node.log.log, "quarantine isn't recorded";
                    "fingerprint" => %finding.fingerprint, "error" => %error);
                node.store.until_up().await;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn is_recorded(node: &Node, fingerprint: Fingerprint) -> bool {
    node.crashes.recorded.borrow().contains(&fingerprint)
}

/// Only instances that watch the store themselves remove records: two calls a zone for each.
async fn remove_expired(node: &Rc<Node>, client: &mut StoreClient) {
    if node.store.source() != Source::Store {
        return;
    }
    let recorded = node.crashes.recorded.borrow().clone();
    for fingerprint in recorded {
        if crashes::refusal(node, fingerprint).is_some() {
            continue;
        }
        let request = node.adapter.remove_quarantine(&fingerprint);
        match client.call(&request, CALL_TIMEOUT).await {
            Ok(_) | Err(CallError::Status(StatusCode::NOT_FOUND)) => {
                crashes::apply_removed_quarantine(node, fingerprint);
            }
            // It is tried again after the next period.
            Err(error) => slog::warn!(node.log.log, "quarantine isn't lifted";
                "fingerprint" => %fingerprint, "error" => %error),
        }
    }
}
