//! Writes this instance's record to the store, and reads the records of its zone at startup.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_routing::peers::ListedInstance;
use hyper::StatusCode;

use crate::adapter::{Collection, Record};
use crate::node::Node;
use crate::store::page_cursor::{PageCursor, PageProgress};
use crate::store::{CallError, Source, StoreClient};

/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after its first listing from which an instance holds pools of quotas.
const NEW_HOLDER_WAIT: SpanMs = SpanMs::new(5_000);
/// Time after its first listing from which an instance has shares of servers' tokens: it takes one of several from an
/// instance that has not read its record yet, and that share begins empty.
const NEW_SHARES_WAIT: SpanMs = SpanMs::new(1_500);
/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delays between reads of the zone's records while this instance has no source of the store's changes. Instances that
/// start together write their records within a few hundred milliseconds.
const ZONE_READ_DELAYS: [Duration; 3] = [
    Duration::from_millis(150),
    Duration::from_millis(350),
    Duration::from_millis(800),
];

/// Writes this instance's record, unless the store has the same record from an earlier start of the process, and reads
/// the records of the other instances of its zone.
///
/// All records that are written later arrive as changes of the store.
pub async fn register(node: Rc<Node>) {
    let mut client = StoreClient::new(Rc::clone(&node), Collection::Instances);
    let record = node.own_record();
    read_zone_records(&node, &mut client, &record.zone).await;
    while let Err(error) = write_record(&node, &mut client, &record).await {
        slog::warn!(node.log.log, "cannot write the record of this instance to the store; retrying";
            "error" => %error);
        node.store.until_up().await;
        tokio::time::sleep(RETRY_DELAY).await;
    }
    node.state.borrow_mut().members.set_registered();
    for delay in ZONE_READ_DELAYS {
        tokio::time::sleep(delay).await;
        if node.store.source() != Source::Undecided {
            return;
        }
        read_zone_records(&node, &mut client, &record.zone).await;
    }
}

async fn write_record(
    node: &Rc<Node>,
    client: &mut StoreClient,
    record: &ListedInstance,
) -> Result<(), CallError> {
    if node.state.borrow().members.is_listed_as(record) {
        return Ok(());
    }
    let [create, replace] = node.adapter.register(record);
    match client.call(&create, CALL_TIMEOUT).await {
        Ok(_) => {
            // Until all others know of this instance, one of them may still hold its pools.
            let now = node.continuous_now();
            let mut pools = node.quotas.pools.borrow_mut();
            pools.earn_from(now + NEW_HOLDER_WAIT);
            let mut shares = node.server_tokens.shares.borrow_mut();
            shares.earn_from(now + NEW_SHARES_WAIT);
            Ok(())
        }
        // The store has a record from an earlier start of this instance's process.
        Err(CallError::Status(StatusCode::CONFLICT)) => {
            client.call(&replace, CALL_TIMEOUT).await.map(drop)
        }
        Err(error) => Err(error),
    }
}

/// Reads the records of this instance's zone. A failure is ignored: the missed records arrive later as changes of the
/// store.
async fn read_zone_records(
    node: &Rc<Node>,
    client: &mut StoreClient,
    zone: &Option<ids::AvailabilityZoneId>,
) {
    let Some(zone) = zone else {
        return;
    };
    let mut cursor = PageCursor::default();
    loop {
        let request = node.adapter.list_zone(zone, cursor.after());
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
        let has_more = records.last().is_some_and(is_of_zone);
        let of_zone = records.into_iter().filter(is_of_zone);
        node.state.borrow_mut().members.add_listed(of_zone);
        if !has_more || cursor.advance(page.next) != Ok(PageProgress::ReadNext) {
            return;
        }
    }
}
