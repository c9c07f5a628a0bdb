//! The instance's own record in the store, and the records of the others.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_routing::peers::ListedInstance;
use hyper::StatusCode;

use crate::adapter::{Collection, Record};
use crate::node::Node;
use crate::store::{CallError, StoreClient};

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The pause after a failure.
const PAUSE: Duration = Duration::from_millis(500);
/// The pause between two lists. Instances that start send heartbeats to all that are listed, so the list
/// only tells of those that can't be heard.
const LIST_PAUSE: Duration = Duration::from_secs(12);

/// Writes the instance's record, then reads the records of all from time to time.
///
/// The record is written before the list is read: of two instances that start together, at least one
/// finds the other.
pub async fn register(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Instances);
    let settings = node.settings();
    let record = ListedInstance {
        instance: settings.instance.clone(),
        peer_address: settings.peer_address,
        zone: Some(settings.zone.clone()),
    };
    while let Err(error) = write(&node, &mut client, &record).await {
        slog::warn!(node.log.log, "own record isn't written"; "error" => %error);
        node.store.until_up().await;
        tokio::time::sleep(PAUSE).await;
    }
    let mut may_be_stale = false;
    loop {
        match list(&node, &mut client, may_be_stale).await {
            Ok(()) => {
                may_be_stale = true;
                tokio::time::sleep(LIST_PAUSE).await;
            }
            Err(error) => {
                slog::warn!(node.log.log, "instances aren't listed"; "error" => %error);
                node.store.until_up().await;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn write(
    node: &Rc<Node>,
    client: &mut StoreClient,
    record: &ListedInstance,
) -> Result<(), CallError> {
    let [create, replace] = node.adapter.register(record);
    match client.call(&create, CALL_TIMEOUT).await {
        // A record of an earlier start lies there.
        Err(CallError::Status(StatusCode::CONFLICT)) => {
            client.call(&replace, CALL_TIMEOUT).await.map(drop)
        }
        other => other.map(drop),
    }
}

async fn list(
    node: &Rc<Node>,
    client: &mut StoreClient,
    may_be_stale: bool,
) -> Result<(), CallError> {
    let mut listed = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let adapter = &node.adapter;
        let request = adapter.list(Collection::Instances, after.as_deref(), may_be_stale);
        let body = client.call(&request, CALL_TIMEOUT).await?;
        let page = node.adapter.page(Collection::Instances, &body);
        let page = page.map_err(|_| CallError::Malformed)?;
        listed.extend(page.items.into_iter().filter_map(|item| match item.record {
            Some(Record::Instance(record)) => Some(record),
            _ => None,
        }));
        match page.continue_after {
            Some(name) => after = Some(name),
            None => break,
        }
    }
    node.state.borrow_mut().members.set_listed(listed);
    Ok(())
}
