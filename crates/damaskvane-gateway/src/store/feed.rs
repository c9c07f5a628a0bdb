//! Relays the store's changes between instances, over one TCP connection per subscriber.
//!
//! A relay is an instance that sends the store's changes to others; a subscriber is an instance that receives them. A
//! collection is the set of the store's objects of one kind; a revision is the number of the store's last change.
//!
//! The stream consists of length-prefixed frames. The relay sends the changes that the subscriber lacks, and four times
//! a second the time since the store's last response. A subscriber whose relay has stopped or can't reach the store
//! detects this within a second and watches the store itself.

mod frames;
mod serve;
mod subscribe;

use core::time::Duration;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::relay::Batch;
use tokio::sync::Notify;

use crate::adapter::Collection;
use crate::store::FOLLOWED_COLLECTIONS;
use crate::store::freshness::FreshnessTracker;
use crate::store::journal::Listing;

pub(crate) use frames::MAGIC;
pub(crate) use serve::serve_subscriber;
pub use subscribe::{subscribe, watch_freshness};

/// Interval at which a relay sends its subscribers the time since the store's last response.
const AGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a frame after which the subscriber connects to another relay. Also the timeout for connecting to a
/// relay and for writing a frame.
const IDLE_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which a subscriber selects its source of changes again, and between two attempts to connect to a relay.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Data received from a relay for one collection.
#[derive(Debug)]
pub enum FeedItem {
    /// Changes since the last revision that was received.
    Batch(Batch<Bytes>),
    /// The whole collection.
    Listing(Listing),
    /// The relay no longer has the changes that this instance lacks. This instance has to read the whole collection
    /// again.
    HistoryGone,
}

/// A subscriber's buffer of data that was received from a relay and not yet applied, with the freshness of that data.
#[derive(Debug, Default)]
pub struct Feed {
    items: RefCell<BTreeMap<Collection, VecDeque<FeedItem>>>,
    arrived: Notify,
    /// Last applied revision of each collection, in the order of `FOLLOWED_COLLECTIONS`; with revision 0 the relay
    /// sends the whole collection.
    revisions: RefCell<[u64; FOLLOWED_COLLECTIONS.len()]>,
    freshness: Cell<FreshnessTracker>,
    listing_requests: Notify,
}

impl Feed {
    /// Requests a whole collection instead of its next changes, by restarting the subscription at revision 0.
    pub fn request_listing(&self, collection: Collection) {
        self.set_revision(collection, 0);
        self.listing_requests.notify_waiters();
    }

    /// Waits until a relay has sent a whole collection. Changes that arrive earlier are dropped.
    pub async fn listing(&self, collection: Collection) -> Listing {
        loop {
            if let FeedItem::Listing(listing) = self.next(collection).await {
                return listing;
            }
        }
    }

    /// Sets the revision up to which a collection has been applied.
    pub fn set_revision(&self, collection: Collection, revision: u64) {
        if let Some(index) = FOLLOWED_COLLECTIONS
            .iter()
            .position(|one| *one == collection)
        {
            self.revisions.borrow_mut()[index] = revision;
        }
    }

    /// Returns the revision up to which a collection has been applied, or 0 if it has not been read.
    pub(super) fn revision(&self, collection: Collection) -> u64 {
        let index = FOLLOWED_COLLECTIONS
            .iter()
            .position(|one| *one == collection);
        index.map_or(0, |index| self.revisions.borrow()[index])
    }

    /// Waits for the next item of a collection and removes it from the buffer.
    pub async fn next(&self, collection: Collection) -> FeedItem {
        loop {
            let arrived = self.arrived.notified();
            let item = {
                let mut items = self.items.borrow_mut();
                items.get_mut(&collection).and_then(VecDeque::pop_front)
            };
            if let Some(item) = item {
                return item;
            }
            arrived.await;
        }
    }

    /// Records that a relay reported at `now` that the store's last response was `store_age` ago.
    fn record_store_age(&self, now: TimeMs, store_age: SpanMs) {
        let mut freshness = self.freshness.get();
        freshness.record(now, store_age);
        self.freshness.set(freshness);
    }

    /// Returns the time since when the received data has been stale, or `None` if it is fresh. Data is stale if the
    /// store's last response is older than `stale_ms`, or if the relay has sent nothing recently.
    pub(super) fn stale_since(&self, now: TimeMs, stale_ms: u64) -> Option<TimeMs> {
        let mut freshness = self.freshness.get();
        let since = freshness.stale_since(now, stale_ms);
        self.freshness.set(freshness);
        since
    }

    fn push(&self, collection: Collection, item: FeedItem) {
        let mut items = self.items.borrow_mut();
        items.entry(collection).or_default().push_back(item);
        drop(items);
        self.arrived.notify_waiters();
    }

    fn clear(&self) {
        self.items.borrow_mut().clear();
    }
}
