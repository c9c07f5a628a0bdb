//! Follows one collection of the store: a list, then watches from its revision on.

use core::time::Duration;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use rand::RngExt;

use crate::adapter::{Collection, DecodeError, Event, StoreRequest};
use crate::node::Node;
use crate::store::feed::Item;
use crate::store::intake::Intake;
use crate::store::journal::Listing;
use crate::store::{CallError, Source, StoreClient, freshness};

/// How much later than announced a watch may return.
const WAIT_SLACK: Duration = Duration::from_millis(1_200);
/// How long a call that doesn't wait may take: a store that is 50 times slower than usual still answers
/// a long list in this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The pause between two looks at who is at work in the zone.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// The first pause after a failure.
const FIRST_PAUSE_MS: u64 = 50;
/// The longest pause after failures: a store that is back is noticed within it.
const LONGEST_PAUSE_MS: u64 = 400;
/// How long a relay may take to send a whole collection before the store is asked for it.
const RELAY_PATIENCE: Duration = Duration::from_millis(400);
/// Changes that come within this time are fetched together: each return of a watch is a call that is
/// paid for, and a replaced server makes several changes.
const GATHER: Duration = Duration::from_millis(150);
/// The same for servers, which change most while many join and grow warm. One that drains may still get
/// requests for 2 s at least, and one that joined is cold.
const GATHER_SERVERS: Duration = Duration::from_millis(500);

/// The same for instances, which tell each other that they start.
const GATHER_INSTANCES: Duration = Duration::from_secs(2);

const fn gather(collection: Collection) -> Duration {
    match collection {
        Collection::Servers => GATHER_SERVERS,
        Collection::Instances => GATHER_INSTANCES,
        _ => GATHER,
    }
}

/// Follows a collection until the process ends.
pub async fn follow(node: Rc<Node>, collection: Collection) {
    Follower {
        client: StoreClient::new(Rc::clone(&node), collection),
        intake: Intake::new(Rc::clone(&node), collection),
        node,
        collection,
        failures: 0,
        has_begun: false,
    }
    .run()
    .await;
}

/// Waits until this is the first instance of its zone, which finds out who is at work in the others.
async fn until_first_of_zone(node: &Rc<Node>) {
    loop {
        if freshness::is_settled(node) && node.relay_rank() == Some(0) {
            return;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

struct Follower {
    node: Rc<Node>,
    collection: Collection,
    client: StoreClient,
    intake: Intake,
    failures: u32,
    /// Whether the whole collection was read before.
    has_begun: bool,
}

impl Follower {
    async fn run(&mut self) {
        loop {
            let revision = self.begin().await;
            self.watch(revision).await;
            self.node.journal.set_gap(self.collection);
            self.node.feed.ask_anew(self.collection);
        }
    }

    /// Reads the whole collection, from a relay if there is one, else from the store; whichever answers.
    ///
    /// Hundreds of instances that start together would each read everything from the store before they know who
    /// does it for them, so nothing is read while that is undecided.
    async fn begin(&mut self) -> u64 {
        let node = Rc::clone(&self.node);
        let collection = self.collection;
        tokio::select! {
            () = node.store.until_other_source(Source::Undecided) => {}
            () = until_first_of_zone(&node), if collection == Collection::Instances => {}
        }
        if node.store.source() == Source::Relay {
            let listing = node.feed.listing(collection);
            if let Ok(listing) = tokio::time::timeout(RELAY_PATIENCE, listing).await
                && let Ok(revision) = self.take_listing(listing).await
            {
                return revision;
            }
        }
        loop {
            let read = async {
                match self.read_list().await {
                    Err(error) => {
                        self.pause(&error).await;
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
                && let Ok(revision) = self.take_listing(listing).await
            {
                return revision;
            }
        }
    }

    async fn read_list(&mut self) -> Result<Listing, CallError> {
        let mut pages = Vec::new();
        let mut after: Option<String> = None;
        let mut first_revision = None;
        loop {
            let adapter = &self.node.adapter;
            // Of the instances, what is newer than the first list comes with the changes after it.
            let may_be_stale = self.collection == Collection::Instances && !self.has_begun;
            let request = adapter.list(self.collection, after.as_deref(), may_be_stale);
            let started = self.node.now();
            let body = self.client.call(&request, CALL_TIMEOUT).await?;
            let took_ms = self.node.now().since(started).get();
            self.node.metrics.store_s.observe(took_ms as f64 / 1_000.0);
            let page = self.node.adapter.page(self.collection, &body);
            let page = page.map_err(|error| self.unreadable(&error))?;
            pages.push(body);
            // Changes between two pages are in the history after the first one.
            let revision = *first_revision.get_or_insert(page.revision);
            match page.continue_after {
                Some(name) => after = Some(name),
                None => {
                    return Ok(Listing {
                        revision,
                        pages,
                        changes: Vec::new(),
                    });
                }
            }
        }
    }

    /// Puts a whole collection in place of what was known.
    ///
    /// Others get it first: on a small machine it takes a part of a second to take in a list of a thousand servers, and
    /// after a loss of power the instances of a zone would wait for each other in a row.
    async fn take_listing(&mut self, listing: Listing) -> Result<u64, DecodeError> {
        let revision = listing.revision;
        self.node.journal.restart(self.collection, listing.clone());
        tokio::task::yield_now().await;
        let taken = self.take_in(&listing);
        if taken.is_err() {
            self.node.journal.set_gap(self.collection);
        }
        taken.map(|()| revision)
    }

    fn take_in(&mut self, listing: &Listing) -> Result<(), DecodeError> {
        // The last word on each object counts. Were the list taken in before the changes since, servers that
        // joined after it would be taken as gone for a moment, and as cold after that.
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
        self.has_begun = true;
        self.failures = 0;
        self.intake.replace(items.into_values().collect());
        let revision = listing.revision;
        self.node.feed.set_revision(self.collection, revision);
        Ok(())
    }

    /// Follows changes until the history is gone.
    async fn watch(&mut self, mut revision: u64) {
        loop {
            match self.next_body(revision).await {
                Ok((to, body)) => {
                    self.failures = 0;
                    if to <= revision {
                        continue;
                    }
                    if body.is_empty() {
                        // A whole collection was taken in.
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
                        self.intake.apply(event);
                    }
                    if self.node.store.source() == Source::Store {
                        tokio::time::sleep(gather(self.collection)).await;
                    }
                }
                Err(CallError::HistoryGone) => {
                    slog::info!(self.node.log.log, "history is gone";
                        "collection" => self.collection.as_str(), "revision" => revision);
                    return;
                }
                Err(error) => self.pause(&error).await,
            }
        }
    }

    /// The next changes with the revision that they lead to, from wherever changes come.
    async fn next_body(&mut self, revision: u64) -> Result<(u64, Bytes), CallError> {
        let node = Rc::clone(&self.node);
        match node.store.source() {
            Source::Store => tokio::select! {
                body = self.watch_store(revision) => body,
                () = node.store.until_source(Source::Relay) => Ok((revision, Bytes::new())),
            },
            Source::Undecided => {
                node.store.until_other_source(Source::Undecided).await;
                Ok((revision, Bytes::new()))
            }
            Source::Relay => tokio::select! {
                item = node.feed.next(self.collection) => match item {
                    Item::Batch(batch) if batch.from <= revision => Ok((batch.to, batch.body)),
                    // The relay has left something out that this instance lacks.
                    Item::Batch(_) | Item::Gone => Err(CallError::HistoryGone),
                    Item::Listing(listing) => {
                        let to = listing.revision;
                        if to > revision && self.take_listing(listing).await.is_err() {
                            return Err(CallError::HistoryGone);
                        }
                        Ok((to, Bytes::new()))
                    }
                },
                () = node.store.until_other_source(Source::Relay) => Ok((revision, Bytes::new())),
            },
        }
    }

    async fn watch_store(&mut self, revision: u64) -> Result<(u64, Bytes), CallError> {
        let node = Rc::clone(&self.node);
        let wait_ms = node.settings().watch_wait_ms();
        let request: StoreRequest = node.adapter.watch(self.collection, revision, wait_ms);
        let timeout = Duration::from_millis(wait_ms) + WAIT_SLACK;
        let body = tokio::select! {
            body = self.client.call(&request, timeout) => body?,
            () = node.store.until_failed_call() => return Err(CallError::Timeout),
        };
        let changes = self.node.adapter.changes(self.collection, &body);
        let changes = changes.map_err(|error| self.unreadable(&error))?;
        Ok((changes.revision, body))
    }

    fn unreadable(&self, error: &DecodeError) -> CallError {
        slog::warn!(self.node.log.log, "answer of the store can't be read";
            "collection" => self.collection.as_str(), "error" => %error);
        CallError::Malformed
    }

    /// Waits before the next call. While the store is away nothing but the contact task asks, so that an
    /// outage costs few calls and a store that comes back meets no herd.
    async fn pause(&mut self, error: &CallError) {
        self.failures += 1;
        slog::debug!(self.node.log.log, "call on the store failed";
            "collection" => self.collection.as_str(), "error" => %error);
        self.node.store.until_up().await;
        let longest_ms = (FIRST_PAUSE_MS << self.failures.min(4)).min(LONGEST_PAUSE_MS);
        let pause_ms = rand::rng().random_range(longest_ms / 2..=longest_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
