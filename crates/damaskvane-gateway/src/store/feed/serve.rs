//! The relay's side of the stream: sends subscribers, which are other instances, the store's changes that they lack.

use std::io;
use std::rc::Rc;

use damaskvane_routing::peers::IncarnationKey;
use tokio::net::{TcpListener, TcpStream};

use crate::adapter::Collection;
use crate::costs::{Distance, Flow};
use crate::node::Node;
use crate::store::FOLLOWED_COLLECTIONS;
use crate::store::feed::frames::{self, Frame, Hello};
use crate::store::feed::{AGE_INTERVAL, IDLE_TIMEOUT, POLL_INTERVAL};
use crate::store::journal::JournalRead;

/// Age of the store's last response, in milliseconds, that an instance reports if it has missed changes. Because of
/// this age, subscribers treat the instance's data as stale.
const GAP_AGE_MS: u64 = 3_600_000;

/// Serves subscribers until the process ends.
///
/// # Errors
///
/// Fails if the peer address in the settings can't be bound.
pub async fn serve(node: Rc<Node>) -> io::Result<()> {
    let listener = TcpListener::bind(node.settings().peer_address).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            // The subscriber detects the end of the stream and connects to another source.
            let _ = serve_subscriber(&node, stream).await;
        });
    }
}

async fn serve_subscriber(node: &Rc<Node>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let bytes = tokio::time::timeout(IDLE_TIMEOUT, frames::read_frame(&mut stream)).await??;
    let hello: Hello = frames::decode(&bytes)?;
    if hello.magic != frames::MAGIC {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut revisions = hello.revisions;
    let mut additions = node.journal.subscribe();
    loop {
        for (index, collection) in FOLLOWED_COLLECTIONS.into_iter().enumerate() {
            send_missing(node, &mut stream, index, collection, &mut revisions[index]).await?;
        }
        let store_age_ms = if node.journal.is_complete() {
            node.store.age(node.now()).get()
        } else {
            GAP_AGE_MS
        };
        let answered = node.store.answered_instance();
        let alive = Frame::Alive {
            store_age_ms,
            answered: answered.map(IncarnationKey::get),
        };
        send(node, &mut stream, &alive).await?;
        // Changes are sent at once, and so is the age after a response of the store that ends a gap. Otherwise the age
        // is sent at each interval.
        tokio::select! {
            _ = additions.changed() => {}
            () = node.store.until_answered() => {}
            () = tokio::time::sleep(AGE_INTERVAL) => {}
        }
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
            JournalRead::UpToDate => return Ok(()),
            JournalRead::Listing(listing) => {
                *revision = listing.revision;
                let frame = Frame::Listing {
                    collection: number,
                    revision: listing.revision,
                    pages: frames::to_wire(&listing.pages),
                    changes: frames::to_wire(&listing.changes),
                };
                send(node, stream, &frame).await?;
            }
            JournalRead::HistoryGone { resume_at } => {
                *revision = resume_at;
                let frame = Frame::Gone { collection: number };
                return send(node, stream, &frame).await;
            }
            JournalRead::Batch(batch) => {
                *revision = batch.to;
                let frame = Frame::Changes {
                    collection: number,
                    from: batch.from,
                    to: batch.to,
                    body: batch.body.to_vec(),
                };
                send(node, stream, &frame).await?;
            }
        }
    }
}

async fn send(node: &Rc<Node>, stream: &mut TcpStream, frame: &Frame) -> io::Result<()> {
    let bytes = frames::send(stream, frame).await?;
    if let Ok(address) = stream.peer_addr() {
        let distance = Distance::to_instance(node, address.ip());
        node.metrics.costs.record_bytes(Flow::Feed, distance, bytes);
    }
    Ok(())
}
