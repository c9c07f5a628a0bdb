//! Hands changes on within a zone, over one connection for each instance that listens.
//!
//! The stream is made of frames with their length in front. The relay sends what the listener lacks, and
//! four times a second how long ago the store has answered: a listener whose relay is cut off from the
//! store, stopped or gone notices within a second and watches the store itself.

mod frames;
mod listen;
mod serve;

use core::time::Duration;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::relay::Batch;
use tokio::sync::Notify;

use crate::adapter::Collection;
use crate::store::FOLLOWED_COLLECTIONS;
use crate::store::freshness::Heard;
use crate::store::journal::Listing;

pub use listen::{listen, watch_freshness};
pub use serve::serve;

/// The pause between two words on the store's age.
const PERIOD: Duration = Duration::from_millis(250);
/// The silence after which a listener tries the other relay.
const SILENCE: Duration = Duration::from_millis(600);
/// The pause between two looks at the source, and between two tries to connect.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// What arrived for one collection.
#[derive(Debug)]
pub enum Item {
    /// Changes.
    Batch(Batch<Bytes>),
    /// The whole collection.
    Listing(Listing),
    /// Everything must be read anew.
    Gone,
}

/// The listener's side: what arrived, and how fresh it is.
#[derive(Debug, Default)]
pub struct Feed {
    items: RefCell<BTreeMap<Collection, VecDeque<Item>>>,
    arrived: Notify,
    /// The revisions that the collections are at.
    revisions: RefCell<[u64; FOLLOWED_COLLECTIONS.len()]>,
    heard: Cell<Heard>,
    restarts: Notify,
}

impl Feed {
    /// Asks for a whole collection in place of its next changes.
    pub fn ask_anew(&self, collection: Collection) {
        self.set_revision(collection, 0);
        self.restarts.notify_waiters();
    }

    /// Waits for the whole collection.
    pub async fn listing(&self, collection: Collection) -> Listing {
        loop {
            if let Item::Listing(listing) = self.next(collection).await {
                return listing;
            }
        }
    }

    /// Notes the revision that a collection is at.
    pub fn set_revision(&self, collection: Collection, revision: u64) {
        if let Some(index) = FOLLOWED_COLLECTIONS.iter().position(|one| *one == collection) {
            self.revisions.borrow_mut()[index] = revision;
        }
    }

    /// Waits for the next item of a collection.
    pub async fn next(&self, collection: Collection) -> Item {
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

    /// Notes a source's word on the age of the store's last answer.
    fn note_alive(&self, now: TimeMs, store_age: SpanMs) {
        let mut heard = self.heard.get();
        heard.note(now, store_age);
        self.heard.set(heard);
    }

    /// Since when nothing was heard that is fresh by this age of the store's last answer.
    pub(super) fn stale_since(&self, now: TimeMs, stale_ms: u64) -> Option<TimeMs> {
        let mut heard = self.heard.get();
        let since = heard.stale_since(now, stale_ms);
        self.heard.set(heard);
        since
    }

    fn push(&self, collection: Collection, item: Item) {
        let mut items = self.items.borrow_mut();
        items.entry(collection).or_default().push_back(item);
        drop(items);
        self.arrived.notify_waiters();
    }

    fn clear(&self) {
        self.items.borrow_mut().clear();
    }
}
