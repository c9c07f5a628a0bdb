//! Proves at regular intervals that this instance's configuration is the newest one.
//!
//! Only an instance that watches the store itself asks for proofs; all others receive them from their source, with
//! their age. A response that may be stale proves nothing, and neither does a watch that has not returned.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::time::TimeMs;
use damaskvane_routing::teams::ConfigEvidence;

use crate::adapter::Collection;
use crate::node::Node;
use crate::store::{CallError, Source, StoreClient, revision_check};

/// Timeout of a call; a store that is 60 times slower than usual responds within this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay after a call without a proof.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Interval at which the settings are checked for a bound on revocations.
const POLL_WITHOUT_BOUND: Duration = Duration::from_secs(2);

/// Why a reading of the store proved nothing.
#[derive(Debug)]
enum Unproven {
    /// No configuration was applied yet.
    NothingApplied,
    /// A call failed.
    Call(CallError),
    /// The store has changes that this instance has not applied yet, or its watch was answered from an earlier state.
    ChangesMissing,
}

/// Requests proofs while this instance watches the store and the platform bounds the revocation of keys, until the
/// process ends.
pub async fn prove_configuration(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Configuration);
    let mut is_second_miss = false;
    loop {
        node.store.until_source_is(Source::Store).await;
        let Some(bound) = node.settings().revocation_bound() else {
            tokio::time::sleep(POLL_WITHOUT_BOUND).await;
            continue;
        };
        let delay = match prove(&node, &mut client).await {
            Ok(evidence) => {
                is_second_miss = false;
                node.evidence.add(evidence);
                bound.proof_period().to_duration()
            }
            Err(Unproven::ChangesMissing) => {
                if is_second_miss {
                    // The watch that should have returned the changes may never return.
                    node.store.record_failed_call();
                }
                is_second_miss = !is_second_miss;
                RETRY_DELAY
            }
            Err(Unproven::Call(CallError::HistoryGone)) => {
                node.store.record_failed_call();
                RETRY_DELAY
            }
            Err(Unproven::NothingApplied | Unproven::Call(_)) => RETRY_DELAY,
        };
        tokio::time::sleep(delay).await;
    }
}

/// Reads the store's revision, and then the changes of the configuration up to that revision.
///
/// The second call alone would not do: a store that has just dropped its history may answer a watch from an earlier
/// state, in which the changes since are missing.
async fn prove(node: &Rc<Node>, client: &mut StoreClient) -> Result<ConfigEvidence, Unproven> {
    let current_at: TimeMs = node.continuous_now();
    let revision = node.evidence.applied();
    let watched = node.feed.revision(Collection::Configuration);
    if revision == 0 || watched == 0 {
        return Err(Unproven::NothingApplied);
    }
    let store_revision = revision_check::read_revision(node, client).await;
    let store_revision = store_revision.map_err(Unproven::Call)?;
    let request = node.adapter.watch(Collection::Configuration, watched, 0);
    let body = client.call(&request, CALL_TIMEOUT).await;
    let body = body.map_err(Unproven::Call)?;
    let changes = node.adapter.changes(Collection::Configuration, &body);
    let changes = changes.map_err(|_| Unproven::Call(CallError::Malformed))?;
    let is_unchanged = changes.events.is_empty() && changes.revision >= store_revision;
    if !is_unchanged {
        return Err(Unproven::ChangesMissing);
    }
    Ok(ConfigEvidence {
        revision,
        current_at,
    })
}
