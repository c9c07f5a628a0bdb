//! The relay's side: tells listeners what they lack.

use std::io;
use std::rc::Rc;

use damaskvane_routing::peers::StartKey;
use tokio::net::{TcpListener, TcpStream};

use crate::adapter::Collection;
use crate::costs::{Distance, Flow};
use crate::node::Node;
use crate::store::FOLLOWED_COLLECTIONS;
use crate::store::feed::frames::{self, Frame, Hello};
use crate::store::feed::{LOOK_PAUSE, PERIOD, SILENCE};
use crate::store::journal::Next;

/// The age that an instance tells which has missed something.
const GAP_AGE_MS: u64 = 3_600_000;

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
    let bytes = tokio::time::timeout(SILENCE, frames::read_frame(&mut stream)).await??;
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
        let store_age_ms = if node.journal.is_whole() {
            node.store.age(node.now()).get()
        } else {
            GAP_AGE_MS
        };
        let answered = node.store.answered_instance();
        let alive = Frame::Alive {
            store_age_ms,
            answered: answered.map(StartKey::get),
        };
        send(node, &mut stream, &alive).await?;
        // A change is handed on at once, and so is that the store has answered; without either, the age is told once
        // a period.
        tokio::select! {
            _ = additions.changed() => {}
            () = node.store.until_answered() => {}
            () = tokio::time::sleep(PERIOD) => {}
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
            Next::Nothing => return Ok(()),
            Next::Listing(listing) => {
                *revision = listing.revision;
                let frame = Frame::Listing {
                    collection: number,
                    revision: listing.revision,
                    pages: frames::to_wire(&listing.pages),
                    changes: frames::to_wire(&listing.changes),
                };
                send(node, stream, &frame).await?;
            }
            Next::Gone { resume_at } => {
                *revision = resume_at;
                let frame = Frame::Gone { collection: number };
                return send(node, stream, &frame).await;
            }
            Next::Batch(batch) => {
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
        node.metrics.costs.carried(Flow::Feed, distance, bytes);
    }
    Ok(())
}
