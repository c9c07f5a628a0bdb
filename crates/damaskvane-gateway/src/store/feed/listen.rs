//! The listener's side: whom an instance hears from, and whether that is fresh.

use std::io;
use std::net;
use std::rc::Rc;

use bytes::Bytes;
use core::time::Duration;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::relay::Batch;
use tokio::net::TcpStream;

use crate::node::Node;
use crate::store::Source;
use crate::store::feed::frames::{self, Frame, Hello};
use crate::store::feed::{Item, LOOK_PAUSE, SILENCE};
use crate::store::journal::Listing;

/// The age of the last word after which a listener watches the store itself.
const STALE_MS: u64 = 900;
/// The age of the store's last answer to the relay after which a listener watches the store itself.
const STORE_STALE_MS: u64 = 1_100;
/// The pause before another relay is tried in place of one that knows nothing fresh.
const STALE_PAUSE: Duration = Duration::from_millis(300);
/// How long a new process waits for a relay before it watches the store itself.
const UNDECIDED_MS: u64 = 1_500;

/// How long a new process listens for heartbeats before it takes itself for a relay: instances of a zone that
/// start together have heard each other by then, and only two of them watch the store.
const SETTLED_MS: u64 = 700;

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
        magic: frames::MAGIC,
        revisions: *feed.revisions.borrow(),
    };
    frames::send(&mut stream, &hello).await?;
    loop {
        let bytes = tokio::select! {
            read = tokio::time::timeout(SILENCE, frames::read_frame(&mut stream)) => read??,
            () = feed.restarts.notified() => return Ok(()),
        };
        let now = node.now();
        match frames::decode(&bytes)? {
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
                feed.push(frames::collection_of(collection)?, item);
            }
            Frame::Listing {
                collection,
                revision,
                pages,
                changes,
            } => {
                let item = Item::Listing(Listing {
                    revision,
                    pages: frames::from_wire(pages),
                    changes: frames::from_wire(changes),
                });
                feed.push(frames::collection_of(collection)?, item);
            }
            Frame::Gone { collection } => feed.push(frames::collection_of(collection)?, Item::Gone),
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
        _ if is_relay && current == Source::Undecided && now.get() < SETTLED_MS => current,
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
