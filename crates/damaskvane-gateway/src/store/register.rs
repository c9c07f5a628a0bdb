//! The instance's own record in the store, and its first look at those of its zone.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_routing::peers::ListedInstance;
use hyper::StatusCode;

use crate::adapter::{Collection, Record};
use crate::node::Node;
use crate::store::{CallError, Source, StoreClient};

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The pause after a failure.
const PAUSE: Duration = Duration::from_millis(500);
/// The pauses between looks at the zone's records as long as nobody tells of changes: instances that start
/// together write theirs within a few hundred milliseconds.
const LOOK_PAUSES: [Duration; 3] = [
    Duration::from_millis(150),
    Duration::from_millis(350),
    Duration::from_millis(800),
];

/// Writes the instance's record, unless it is there from an earlier start, and finds the others of its zone.
///
/// Everything else on the instances comes with the changes of the store, as for the other collections.
pub async fn register(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Instances);
    let record = node.record();
    look(&node, &mut client, &record.zone).await;
    while let Err(error) = write(&node, &mut client, &record).await {
        slog::warn!(node.log.log, "own record isn't written"; "error" => %error);
        node.store.until_up().await;
        tokio::time::sleep(PAUSE).await;
    }
    node.state.borrow_mut().members.set_registered();
    for pause in LOOK_PAUSES {
        tokio::time::sleep(pause).await;
        if node.store.source() != Source::Undecided {
            return;
        }
        look(&node, &mut client, &record.zone).await;
    }
}

async fn write(
    node: &Rc<Node>,
    client: &mut StoreClient,
    record: &ListedInstance,
) -> Result<(), CallError> {
    if node.state.borrow().members.is_listed_as(record) {
        return Ok(());
    }
    let [create, replace] = node.adapter.register(record);
    match client.call(&create, CALL_TIMEOUT).await {
        // A record of an earlier start lies there.
        Err(CallError::Status(StatusCode::CONFLICT)) => {
            client.call(&replace, CALL_TIMEOUT).await.map(drop)
        }
        other => other.map(drop),
    }
}

/// Reads the records of the own zone. What fails is found later, from the changes of the store.
async fn look(node: &Rc<Node>, client: &mut StoreClient, zone: &Option<ids::AvailabilityZoneId>) {
    let Some(zone) = zone else {
        return;
    };
    let mut after: Option<String> = None;
    loop {
        let request = node.adapter.list_zone(zone, after.as_deref());
        let Ok(body) = client.call(&request, CALL_TIMEOUT).await else {
            return;
        };
        let Ok(page) = node.adapter.page(Collection::Instances, &body) else {
            return;
        };
        let records: Vec<ListedInstance> = page
            .items
            .into_iter()
            .filter_map(|item| match item.record {
                Some(Record::Instance(record)) => Some(record),
                _ => None,
            })
            .collect();
        let is_of_zone = |record: &ListedInstance| record.zone.as_ref() == Some(zone);
        let goes_on = records.last().is_some_and(is_of_zone);
        let of_zone = records.into_iter().filter(is_of_zone);
        node.state.borrow_mut().members.add_listed(of_zone);
        match page.continue_after {
            Some(name) if goes_on => after = Some(name),
            _ => return,
        }
    }
}
