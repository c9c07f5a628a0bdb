//! The listener's side: whom an instance hears from, and whether that is fresh.

use std::io;
use std::net;
use std::rc::Rc;

use bytes::Bytes;
use core::time::Duration;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::peers::StartKey;
use damaskvane_routing::relay::Batch;
use tokio::net::TcpStream;

use crate::node::Node;
use crate::store::feed::frames::{self, Frame, Hello};
use crate::store::feed::{Item, LOOK_PAUSE, SILENCE};
use crate::store::journal::Listing;
use crate::store::{Source, contact, freshness};

/// How much older the store's last answer is taken to be than a source says: more than the way from it takes. Without
/// that, instances that hear from each other in a ring would tell each other for good that all is fresh.
const HOP_AGE_MS: u64 = 25;
/// The pause before another source is tried in place of one that knows nothing fresh.
const STALE_PAUSE: Duration = Duration::from_millis(150);
/// The same for an instance that the store doesn't answer, which depends on finding one that it answers, and between two
/// tries of such an instance.
const LOST_PAUSE: Duration = Duration::from_millis(30);
/// How long an instance hears from a source that isn't its best one before it tries that again.
const SECOND_BEST_SPAN: Duration = Duration::from_secs(10);

/// Listens to a source whenever there is one, until the process ends.
pub async fn listen(node: Rc<Node>) {
    let mut turn = 0;
    loop {
        let standing = freshness::standing(&node);
        let sources = standing.sources();
        if let Some(address) = sources.get(turn % sources.len().max(1)).copied() {
            let is_best = address == sources[0];
            // Why it ended doesn't matter: the next one is tried.
            let listening = listen_to(&node, address);
            if is_best {
                let _ = listening.await;
                turn += 1;
            } else if tokio::time::timeout(SECOND_BEST_SPAN, listening)
                .await
                .is_err()
            {
                turn = 0;
            } else {
                turn += 1;
            }
        }
        tokio::time::sleep(pause(&node, LOOK_PAUSE)).await;
    }
}

/// This pause, or a short one where the store doesn't answer the instance.
fn pause(node: &Rc<Node>, usual: Duration) -> Duration {
    if node.store.is_own_contact_lost() {
        LOST_PAUSE
    } else {
        usual
    }
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
        match frames::decode(&bytes)? {
            Frame::Alive {
                store_age_ms,
                answered,
            } => {
                if !take_alive(node, store_age_ms, answered.map(StartKey::from_wire)) {
                    // Another one may know more; if the store is away for all, there is no hurry.
                    tokio::time::sleep(pause(node, STALE_PAUSE)).await;
                    return Ok(());
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

/// Takes in how long ago the store answered which instance; `false` if that is not fresh.
fn take_alive(node: &Rc<Node>, store_age_ms: u64, answered: Option<StartKey>) -> bool {
    let now = node.now();
    // What the source knows of the store it has from this instance: it is no news, and goes round in a ring.
    let is_own_word = answered == Some(node.start_key());
    let age = if is_own_word {
        SpanMs::new(u64::MAX)
    } else {
        SpanMs::new(store_age_ms.saturating_add(HOP_AGE_MS))
    };
    node.feed.note_alive(now, age);
    freshness::decide(node);
    if node.store.source() != Source::Relay {
        return false;
    }
    if let Some(answered) = answered {
        let at = TimeMs::new(now.get().saturating_sub(age.get()));
        contact::note_return(node, node.store.record_answer(at, answered));
    }
    true
}

/// Looks from time to time whether what is heard is still fresh, until the process ends.
pub async fn watch_freshness(node: Rc<Node>) {
    loop {
        freshness::decide(&node);
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}
