//! Follows one collection of the store: reads the whole collection, then receives its changes.
//!
//! A collection is the set of the store's objects of one kind; a revision is the number of the store's last change. A
//! watch is a call that returns when the store has changes. A relay is an instance that sends the store's changes to
//! its subscribers, which are other instances.

use core::time::Duration;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use damaskvane_routing::teams::ConfigEvidence;
use rand::RngExt;

use crate::adapter::{Collection, DecodeError, Event, StoreRequest};
use crate::node::Node;
use crate::store::applier::Applier;
use crate::store::feed::FeedItem;
use crate::store::journal::Listing;
use crate::store::page_cursor::{PageCursor, PageProgress};
use crate::store::watch_check::WatchCheck;
use crate::store::{CallError, Source, StoreClient, freshness, shortened};

/// Time that a watch may take to return in addition to the wait time that its call requests.
const WATCH_SLACK: Duration = Duration::from_millis(1_200);
/// Timeout for a call that isn't a watch. A store that is 50 times slower than usual still returns a long list within
/// this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval at which `until_first_in_zone` checks whether this instance is the first relay of its zone.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Base of the exponential backoff between failed calls, in milliseconds. The delay after the first failure is between
/// this value and twice this value.
const MIN_BACKOFF_MS: u64 = 50;
/// Longest delay after repeated failures, in milliseconds. A store that has recovered is called again within
/// this time.
const MAX_BACKOFF_MS: u64 = 400;
/// Time that a relay may take to send a whole collection. After this time the collection is requested from the store
/// too.
const RELAY_LISTING_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before the next watch, which then returns all changes of this time together. Each return of a watch is a call
/// that is paid for, and the replacement of a server makes several changes.
const BATCH_DELAY: Duration = Duration::from_millis(150);
/// The delay before the next watch of backend servers, which change most while many of them join and warm up. The delay
/// is harmless: a draining server may still receive requests for at least 2 s, and a server that just joined gets few
/// requests anyway.
const SERVER_BATCH_DELAY: Duration = Duration::from_millis(500);

/// The delay before the next watch of instances, which announce their start to each other directly.
const INSTANCE_BATCH_DELAY: Duration = Duration::from_secs(2);

const fn batch_delay(collection: Collection) -> Duration {
    match collection {
        Collection::Servers => SERVER_BATCH_DELAY,
        Collection::Instances => INSTANCE_BATCH_DELAY,
        _ => BATCH_DELAY,
    }
}

/// Follows a collection until the process ends.
pub async fn follow(node: Rc<Node>, collection: Collection) {
    Follower {
        client: StoreClient::new(Rc::clone(&node), collection),
        check: WatchCheck::new(Rc::clone(&node), collection),
        applier: Applier::new(Rc::clone(&node), collection),
        node,
        collection,
        failures: 0,
        has_listing: false,
        is_unread_list_logged: false,
    }
    .run()
    .await;
}

/// Waits until this instance is the first relay of its zone. That instance reads the list of instances from the store
/// to find the instances that are running in other zones.
async fn until_first_in_zone(node: &Rc<Node>) {
    loop {
        if freshness::has_discovered_peers(node) && node.relay_rank() == Some(0) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

struct Follower {
    node: Rc<Node>,
    collection: Collection,
    client: StoreClient,
    check: WatchCheck,
    applier: Applier,
    failures: u32,
    /// Whether the whole collection was read at least once since the start of the process.
    has_listing: bool,
    /// Whether it was logged that the list can't be read, since it was read last.
    is_unread_list_logged: bool,
}

impl Follower {
    async fn run(&mut self) {
        loop {
            let revision = self.read_collection().await;
            self.watch(revision).await;
            self.node.journal.mark_gap(self.collection);
            self.node.feed.request_listing(self.collection);
        }
    }

    /// Reads the whole collection and returns its revision. If a relay is the source, the collection is requested from
    /// the relay; after a timeout the collection is requested from the store too, and the first response is used.
    ///
    /// Nothing is read until the source of changes is selected, except the list of instances by the first instance of a
    /// zone. Otherwise each of hundreds of instances that start together would read all collections from the store
    /// before it has found its relay.
    async fn read_collection(&mut self) -> u64 {
        let node = Rc::clone(&self.node);
        let collection = self.collection;
        tokio::select! {
            () = node.store.until_source_is_not(Source::Undecided) => {}
            () = until_first_in_zone(&node), if collection == Collection::Instances => {}
        }
        if node.store.source() == Source::Relay {
            let listing = node.feed.listing(collection);
            if let Ok(listing) = tokio::time::timeout(RELAY_LISTING_TIMEOUT, listing).await
                && let Ok(revision) = self.apply_listing(listing).await
            {
                return revision;
            }
        }
        loop {
            let read = async {
                match self.read_list().await {
                    Err(error) => {
                        self.back_off(&error).await;
                        None
                    }
                    Ok(listing) => Some(listing),
                }
            };
            let listing = tokio::select! {
                listing = read => listing,
                listing = node.feed.listing(collection) => Some(listing),
            };
            if let Some(listing) = listing
                && let Ok(revision) = self.apply_listing(listing).await
            {
                return revision;
            }
        }
    }

    async fn read_list(&mut self) -> Result<Listing, CallError> {
        let mut cursor = PageCursor::default();
        let read = self.read_pages(&mut cursor).await;
        if let Err(error) = &read
            && error.is_lasting()
        {
            self.record_unread_list(error, &cursor);
        }
        read
    }

    async fn read_pages(&mut self, cursor: &mut PageCursor) -> Result<Listing, CallError> {
        let mut pages = Vec::new();
        let current_at = self.node.continuous_now();
        let mut first_revision = None;
        loop {
            let adapter = &self.node.adapter;
            // The first list of instances may be stale: newer records arrive with the changes that follow.
            let may_be_stale = self.collection == Collection::Instances && !self.has_listing;
            let request = adapter.list(self.collection, cursor.after(), may_be_stale);
            let started = self.node.now();
            let body = self.client.call(&request, CALL_TIMEOUT).await?;
            let took_ms = self.node.now().since(started).get();
            self.node.metrics.store_s.observe(took_ms as f64 / 1_000.0);
            let page = self.node.adapter.page(self.collection, &body);
            let page = page.map_err(|error| self.client.log_malformed(&error))?;
            pages.push(body);
            // The watch continues from the first page's revision, so it returns changes made between the reads of two
            // pages.
            let revision = *first_revision.get_or_insert(page.revision);
            let progress = cursor.advance(page.next).map_err(CallError::StuckList)?;
            if progress == PageProgress::ReadNext {
                continue;
            }
            if self.collection == Collection::Configuration {
                // Holds once the list is applied.
                self.node.evidence.add(ConfigEvidence {
                    revision,
                    current_at,
                });
            }
            return Ok(Listing {
                revision,
                pages,
                changes: Vec::new(),
            });
        }
    }

    /// Replaces the collection by a listing and returns its revision.
    ///
    /// The listing is sent to subscribers before it is applied. On a small machine, applying a list of a thousand
    /// servers takes a fraction of a second; after a power loss the instances of a zone would otherwise wait for each
    /// other one after another.
    async fn apply_listing(&mut self, listing: Listing) -> Result<u64, DecodeError> {
        let revision = listing.revision;
        self.node.journal.reset(self.collection, listing.clone());
        tokio::task::yield_now().await;
        let applied = self.apply_items(&listing);
        if applied.is_err() {
            self.node.journal.mark_gap(self.collection);
        }
        applied.map(|()| revision)
    }

    fn apply_items(&mut self, listing: &Listing) -> Result<(), DecodeError> {
        // Only the last change of each object is applied. If the list were applied before the changes that follow,
        // servers that joined after the list would be removed for a moment, and count as recently started after that.
        let mut items: BTreeMap<String, Event> = BTreeMap::new();
        for body in &listing.pages {
            let page = self.node.adapter.page(self.collection, body)?;
            items.extend(page.items.into_iter().map(|item| (item.name.clone(), item)));
        }
        for body in &listing.changes {
            let changes = self.node.adapter.changes(self.collection, body)?;
            let events = changes.events.into_iter();
            items.extend(events.map(|event| (event.name.clone(), event)));
        }
        items.retain(|_, item| item.record.is_some());
        self.has_listing = true;
        self.is_unread_list_logged = false;
        self.failures = 0;
        self.applier.replace(items.into_values().collect());
        let revision = listing.revision;
        self.node.feed.set_revision(self.collection, revision);
        self.record_applied(revision);
        Ok(())
    }

    /// Applies changes after `revision` until the source no longer has the changes that this instance lacks.
    async fn watch(&mut self, mut revision: u64) {
        loop {
            match self.next_changes(revision).await {
                Ok((to, body)) => {
                    self.failures = 0;
                    if to <= revision {
                        continue;
                    }
                    if body.is_empty() {
                        // A whole collection was applied.
                        revision = to;
                        continue;
                    }
                    let Ok(changes) = self.node.adapter.changes(self.collection, &body) else {
                        return;
                    };
                    revision = to;
                    self.node.feed.set_revision(self.collection, revision);
                    if changes.events.is_empty() {
                        continue;
                    }
                    self.node.journal.append(self.collection, to, body);
                    for event in changes.events {
                        self.applier.apply(event);
                    }
                    self.record_applied(to);
                    if self.node.store.source() == Source::Store {
                        tokio::time::sleep(batch_delay(self.collection)).await;
                    }
                }
                Err(CallError::HistoryGone) => {
                    if self.node.store.source() == Source::Store {
                        self.node.store.record_history_lost(self.node.now());
                    }
                    slog::info!(self.node.log.log,
                        "store history is no longer available; reading the whole collection again";
                        "collection" => self.collection.as_str(), "revision" => revision);
                    return;
                }
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Returns the next changes from the current source, and the revision after them. The body is empty if a whole
    /// collection was applied or the source of changes has changed.
    async fn next_changes(&mut self, revision: u64) -> Result<(u64, Bytes), CallError> {
        let node = Rc::clone(&self.node);
        match node.store.source() {
            Source::Store => tokio::select! {
                body = self.watch_store(revision) => body,
                () = node.store.until_source_is(Source::Relay) => Ok((revision, Bytes::new())),
            },
            Source::Undecided => {
                node.store.until_source_is_not(Source::Undecided).await;
                Ok((revision, Bytes::new()))
            }
            Source::Relay => tokio::select! {
                item = node.feed.next(self.collection) => match item {
                    FeedItem::Batch(batch) if batch.from <= revision => Ok((batch.to, batch.body)),
                    // The relay no longer has changes that this instance lacks.
                    FeedItem::Batch(_) | FeedItem::HistoryGone => Err(CallError::HistoryGone),
                    FeedItem::Listing(listing) => {
                        let to = listing.revision;
                        if to > revision && self.apply_listing(listing).await.is_err() {
                            return Err(CallError::HistoryGone);
                        }
                        Ok((to, Bytes::new()))
                    }
                },
                () = node.store.until_source_is_not(Source::Relay) => Ok((revision, Bytes::new())),
            },
        }
    }

    async fn watch_store(&mut self, revision: u64) -> Result<(u64, Bytes), CallError> {
        let node = Rc::clone(&self.node);
        let wait_ms = node.settings().watch_wait_ms();
        let request: StoreRequest = node.adapter.watch(self.collection, revision, wait_ms);
        let timeout = Duration::from_millis(wait_ms) + WATCH_SLACK;
        let body = tokio::select! {
            body = self.client.call(&request, timeout) => body?,
            () = node.store.until_call_may_hang() => return Err(CallError::Timeout),
            () = node.store.until_history_lost() => return Ok((revision, Bytes::new())),
            () = self.check.until_overdue(revision) => return Ok((revision, Bytes::new())),
        };
        let changes = self.node.adapter.changes(self.collection, &body);
        let changes = changes.map_err(|error| self.client.log_malformed(&error))?;
        Ok((changes.revision, body))
    }

    /// Records that the collection is applied up to a revision, for the proofs that the configuration is current.
    fn record_applied(&self, revision: u64) {
        if self.collection == Collection::Configuration {
            self.node.evidence.record_applied(revision);
        }
    }

    /// Counts a list that can't be read, and logs it the first time.
    fn record_unread_list(&mut self, error: &CallError, cursor: &PageCursor) {
        let collection = self.collection.as_str();
        let unread = &self.node.metrics.unread_lists;
        unread.with_label_values(&[collection]).inc();
        if self.is_unread_list_logged {
            return;
        }
        self.is_unread_list_logged = true;
        slog::warn!(self.node.log.log, "cannot read a list of the store";
            "collection" => collection, "after" => cursor.after().map(shortened),
            "error" => %error);
    }

    /// Waits before the next call. While the store is down, only the health check calls the store, so that an outage
    /// causes few calls and a recovering store is not overloaded.
    async fn back_off(&mut self, error: &CallError) {
        self.failures += 1;
        slog::debug!(self.node.log.log, "store call failed; retrying after a delay";
            "collection" => self.collection.as_str(), "error" => %error);
        self.node.store.until_up().await;
        let max_delay_ms = (MIN_BACKOFF_MS << self.failures.min(4)).min(MAX_BACKOFF_MS);
        let delay_ms = rand::rng().random_range(max_delay_ms / 2..=max_delay_ms);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
