//! Hands changes on within a zone, over one connection for each instance that listens.
//!
//! The stream is made of frames with their length in front. The relay sends what the listener lacks, and
//! four times a second how long ago the store has answered: a listener whose relay is cut off from the
//! store, stopped or gone notices within a second and watches the store itself.

use core::time::Duration;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net;
use std::rc::Rc;

use bytes::Bytes;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::relay::Batch;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::adapter::Collection;
use crate::node::Node;
use crate::store::journal::{Listing, Next};
use crate::store::{FOLLOWED, Source};

/// The pause between two words on the store's age.
const PERIOD: Duration = Duration::from_millis(250);
/// The silence after which a listener tries the other relay.
const SILENCE: Duration = Duration::from_millis(600);
/// The age of the last word after which a listener watches the store itself.
const STALE_MS: u64 = 900;
/// The age of the store's last answer to the relay after which a listener watches the store itself.
const STORE_STALE_MS: u64 = 1_100;
/// The pause before another relay is tried in place of one that knows nothing fresh.
const STALE_PAUSE: Duration = Duration::from_millis(300);
/// The age that an instance tells which has missed something.
const GAP_AGE_MS: u64 = 3_600_000;
/// How long a new process waits for a relay before it watches the store itself.
const UNDECIDED_MS: u64 = 1_500;
/// The pause between two looks at the source, and between two tries to connect.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Tells the protocol from others on the port, and its form from later ones.
const MAGIC: u32 = 0x6476_6631;
/// Largest frame: a list of changes is a megabyte at most.
const MOST_BYTES: u32 = 8 << 20;

/// What a listener says once: the revisions that it is at.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    magic: u32,
    revisions: [u64; FOLLOWED.len()],
}

/// What a relay says.
#[derive(Debug, Serialize, Deserialize)]
enum Frame {
    /// The store has answered so long ago.
    Alive { store_age_ms: u64 },
    /// Changes of a collection.
    Changes {
        collection: u8,
        from: u64,
        to: u64,
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// A whole collection, for a listener that lacks more than the changes that are kept.
    Listing {
        collection: u8,
        revision: u64,
        pages: Vec<serde_bytes::ByteBuf>,
        changes: Vec<serde_bytes::ByteBuf>,
    },
    /// What the listener lacks of a collection is no longer known.
    Gone { collection: u8 },
}

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
    revisions: RefCell<[u64; FOLLOWED.len()]>,
    heard_at: Cell<Option<TimeMs>>,
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
        if let Some(index) = FOLLOWED.iter().position(|one| *one == collection) {
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

/// Serves listeners until the process ends.
///
/// # Errors
///
/// Fails if the address can't be used.
pub async fn serve(node: Rc<Node>) -> io::Result<()> {
    let listener = TcpListener::bind(node.settings().peer_address).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(LOOK_PAUSE).await;
            continue;
        };
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            // The listener notices the end of the stream and finds another source.
            let _ = serve_one(&node, stream).await;
        });
    }
}

async fn serve_one(node: &Rc<Node>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let bytes = tokio::time::timeout(SILENCE, read_frame(&mut stream)).await??;
    let hello: Hello = decode(&bytes)?;
    if hello.magic != MAGIC {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut revisions = hello.revisions;
    let mut additions = node.journal.subscribe();
    loop {
        for (index, collection) in FOLLOWED.into_iter().enumerate() {
            send_missing(node, &mut stream, index, collection, &mut revisions[index]).await?;
        }
        let store_age_ms = if node.journal.is_whole() {
            node.store.age(node.now()).get()
        } else {
            GAP_AGE_MS
        };
        send(&mut stream, &Frame::Alive { store_age_ms }).await?;
        // A change is handed on at once; without one, the age is told once a period.
        let _ = tokio::time::timeout(PERIOD, additions.changed()).await;
    }
}

async fn send_missing(
    node: &Rc<Node>,
    stream: &mut TcpStream,
    index: usize,
    collection: Collection,
    revision: &mut u64,
) -> io::Result<()> {
    let number = u8::try_from(index).unwrap_or(u8::MAX);
    loop {
        match node.journal.since(collection, *revision) {
            Next::Nothing => return Ok(()),
            Next::Listing(listing) => {
                *revision = listing.revision;
                let frame = Frame::Listing {
                    collection: number,
                    revision: listing.revision,
                    pages: to_wire(&listing.pages),
                    changes: to_wire(&listing.changes),
                };
                send(stream, &frame).await?;
            }
            Next::Gone { resume_at } => {
                *revision = resume_at;
                let frame = Frame::Gone { collection: number };
                return send(stream, &frame).await;
            }
            Next::Batch(batch) => {
                *revision = batch.to;
                let frame = Frame::Changes {
                    collection: number,
                    from: batch.from,
                    to: batch.to,
                    body: batch.body.to_vec(),
                };
                send(stream, &frame).await?;
            }
        }
    }
}

/// What this instance is for its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// It watches the store for others.
    Relay,
    /// It hears from the instance at this address.
    Listener(net::SocketAddr),
    /// Nobody is known to hear from.
    Unknown,
}

/// Listens to a relay whenever there is one, until the process ends.
pub async fn listen(node: Rc<Node>) {
    let mut turn = 0;
    loop {
        if let Role::Listener(address) = role(&node, turn) {
            // Why it ended doesn't matter: the next one is tried.
            let _ = listen_to(&node, address).await;
            turn += 1;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// The relays of the zone come first. An instance that the store doesn't answer hears from anybody: the
/// store may turn some machines away while others still reach it, and a machine that knows nothing of an
/// evacuation or a drain would go on sending requests there.
fn role(node: &Rc<Node>, turn: usize) -> Role {
    let settings = node.settings();
    let state = node.state.borrow();
    let now = node.now();
    let is_lost = node.store.is_own_contact_lost();
    let mut sources = state.members.relays(now, &settings.zone);
    let is_relay = sources.iter().any(|(id, _)| *id == settings.instance);
    if is_relay && !is_lost {
        return Role::Relay;
    }
    if is_lost {
        let others = state.members.usable(now);
        sources.extend(others.map(|one| (one.instance.clone(), one.peer_address)));
    }
    sources.retain(|(id, _)| *id != settings.instance);
    if sources.is_empty() {
        return Role::Unknown;
    }
    // Listeners spread over the relays by the bytes of their names.
    let spread: usize = settings.instance.as_str().bytes().map(usize::from).sum();
    let (_, address) = sources[(spread + turn) % sources.len()];
    Role::Listener(address)
}

async fn listen_to(node: &Rc<Node>, address: net::SocketAddr) -> io::Result<()> {
    let connecting = TcpStream::connect(address);
    let mut stream = tokio::time::timeout(SILENCE, connecting).await??;
    stream.set_nodelay(true)?;
    let feed = &node.feed;
    feed.clear();
    let hello = Hello {
        magic: MAGIC,
        revisions: *feed.revisions.borrow(),
    };
    send(&mut stream, &hello).await?;
    loop {
        let bytes = tokio::select! {
            read = tokio::time::timeout(SILENCE, read_frame(&mut stream)) => read??,
            () = feed.restarts.notified() => return Ok(()),
        };
        let now = node.now();
        match decode(&bytes)? {
            Frame::Alive { store_age_ms } => {
                feed.heard_at.set(Some(now));
                decide(node, Some(SpanMs::new(store_age_ms)));
                if store_age_ms > STORE_STALE_MS {
                    // Another one may know more; if the store is away for all, there is no hurry.
                    tokio::time::sleep(STALE_PAUSE).await;
                    return Ok(());
                }
                if node.store.source() == Source::Relay {
                    let at = TimeMs::new(now.get().saturating_sub(store_age_ms));
                    node.store.answered(at);
                }
            }
            Frame::Changes {
                collection,
                from,
                to,
                body,
            } => {
                let body = Bytes::from(body);
                let item = Item::Batch(Batch { from, to, body });
                feed.push(collection_of(collection)?, item);
            }
            Frame::Listing {
                collection,
                revision,
                pages,
                changes,
            } => {
                let item = Item::Listing(Listing {
                    revision,
                    pages: from_wire(pages),
                    changes: from_wire(changes),
                });
                feed.push(collection_of(collection)?, item);
            }
            Frame::Gone { collection } => feed.push(collection_of(collection)?, Item::Gone),
        }
    }
}

/// Looks from time to time whether the relay is still fresh, until the process ends.
pub async fn watch_freshness(node: Rc<Node>) {
    loop {
        decide(&node, None);
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Decides where changes come from; `store_age` is the relay's word, if it has just come.
fn decide(node: &Rc<Node>, store_age: Option<SpanMs>) {
    let now = node.now();
    let heard_at = node.feed.heard_at.get();
    let is_heard = heard_at.is_some_and(|at| now.since(at).get() <= STALE_MS);
    let is_relay = role(node, 0) == Role::Relay;
    let current = node.store.source();
    let wanted = match store_age {
        _ if is_relay => Source::Store,
        Some(age) if age.get() <= STORE_STALE_MS => Source::Relay,
        Some(_) => Source::Store,
        None if current == Source::Relay && is_heard => Source::Relay,
        None if current == Source::Undecided && now.get() <= UNDECIDED_MS => Source::Undecided,
        None => Source::Store,
    };
    if node.store.set_source(wanted) {
        slog::info!(node.log.log, "source of changes"; "source" => ?wanted,
            "relay_silent_ms" => heard_at.map(|at| now.since(at).get()),
            "relay_store_age_ms" => store_age.map(SpanMs::get));
    }
}

fn to_wire(bodies: &[Bytes]) -> Vec<serde_bytes::ByteBuf> {
    bodies.iter().map(|body| body.to_vec().into()).collect()
}

fn from_wire(bodies: Vec<serde_bytes::ByteBuf>) -> Vec<Bytes> {
    let bodies = bodies.into_iter();
    bodies.map(|body| Bytes::from(body.into_vec())).collect()
}

fn collection_of(number: u8) -> io::Result<Collection> {
    let found = FOLLOWED.get(usize::from(number)).copied();
    found.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> io::Result<T> {
    postcard::from_bytes(bytes).map_err(|_| io::ErrorKind::InvalidData.into())
}

async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > MOST_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

async fn send(stream: &mut TcpStream, message: &impl Serialize) -> io::Result<()> {
    let body = postcard::to_allocvec(message).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    // A listener that takes nothing for so long is stopped or gone.
    tokio::time::timeout(SILENCE, stream.write_all(&bytes)).await?
}
