//! The relay's side of the stream: sends subscribers, which are other instances, the store's changes that they lack.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use damaskvane_routing::peers::IncarnationKey;
use tokio::io::AsyncRead;
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;

use crate::adapter::Collection;
use crate::costs::{Distance, Flow};
use crate::framing;
use crate::node::Node;
use crate::store::FOLLOWED_COLLECTIONS;
use crate::store::feed::AGE_INTERVAL;
use crate::store::feed::frames::{self, Echo, EvidenceFrame, Frame, Hello};
use crate::store::journal::JournalRead;

/// Age of the store's last response, in milliseconds, that an instance reports if it has missed changes. Because of
/// this age, subscribers treat the instance's data as stale.
const GAP_AGE_MS: u64 = 3_600_000;

/// Serves a subscriber, which detects the end of the stream and connects to another source.
///
/// # Errors
///
/// Returns the error that ended the stream.
pub(crate) async fn serve_subscriber(
    node: &Rc<Node>,
    mut stream: TcpStream,
    hello: &[u8],
) -> io::Result<()> {
    let hello: Hello = framing::decode(hello)?;
    let distance = stream
        .peer_addr()
        .ok()
        .map(|address| Distance::to_instance(node, address.ip()));
    let (mut reader, writer) = stream.split();
    let echo = Cell::new(hello.echo);
    let sending = Subscription {
        node,
        writer,
        distance,
        revisions: hello.revisions,
        echo: &echo,
    };
    tokio::select! {
        sent = sending.run() => sent,
        read = read_echoes(&mut reader, &echo) => read,
    }
}

/// Reads the numbers that the subscriber sends, until the stream ends.
async fn read_echoes(reader: &mut (impl AsyncRead + Unpin), echo: &Cell<Echo>) -> io::Result<()> {
    loop {
        let bytes = framing::read(reader).await?;
        echo.set(framing::decode(&bytes)?);
    }
}

/// The sending half of a stream to a subscriber.
struct Subscription<'a> {
    node: &'a Rc<Node>,
    writer: WriteHalf<'a>,
    /// Distance to the subscriber, for the counters of bytes.
    distance: Option<Distance>,
    /// Revision of each collection up to which the subscriber has the changes.
    revisions: [u64; FOLLOWED_COLLECTIONS.len()],
    /// The last number that the subscriber sent.
    echo: &'a Cell<Echo>,
}

impl Subscription<'_> {
    async fn run(mut self) -> io::Result<()> {
        let mut additions = self.node.journal.subscribe();
        loop {
            for (index, collection) in FOLLOWED_COLLECTIONS.into_iter().enumerate() {
                self.send_missing(index, collection).await?;
            }
            // The echo is read first: the ages that follow are those at a later moment.
            let echo = self.echo.get();
            let alive = self.alive(echo);
            self.send(&alive).await?;
            let node = self.node;
            // Changes are sent at once, and so is the age after a response of the store that ends a gap. Otherwise the age
            // is sent at each interval.
            tokio::select! {
                _ = additions.changed() => {}
                () = node.store.until_answered() => {}
                () = node.evidence.until_newer() => {}
                () = tokio::time::sleep(AGE_INTERVAL) => {}
            }
        }
    }

    /// Returns the report on the ages of this instance's data.
    fn alive(&self, echo: Echo) -> Frame {
        let node = self.node;
        let store_age_ms = if node.journal.is_complete() {
            node.store.age(node.now()).get()
        } else {
            GAP_AGE_MS
        };
        let now = node.continuous_now();
        let evidence = node.evidence.newest().map(|newest| EvidenceFrame {
            revision: newest.revision,
            age_ms: now.since(newest.current_at).get(),
        });
        let answered = node.store.answered_instance();
        Frame::Alive {
            store_age_ms,
            answered: answered.map(IncarnationKey::get),
            echo,
            evidence,
        }
    }

    async fn send_missing(&mut self, index: usize, collection: Collection) -> io::Result<()> {
        let number = u8::try_from(index).unwrap_or(u8::MAX);
        loop {
            match self.node.journal.since(collection, self.revisions[index]) {
                JournalRead::UpToDate => return Ok(()),
                JournalRead::Listing(listing) => {
                    self.revisions[index] = listing.revision;
                    let frame = Frame::Listing {
                        collection: number,
                        revision: listing.revision,
                        pages: frames::to_wire(&listing.pages),
                        changes: frames::to_wire(&listing.changes),
                    };
                    self.send(&frame).await?;
                }
                JournalRead::HistoryGone { resume_at } => {
                    self.revisions[index] = resume_at;
                    let frame = Frame::Gone { collection: number };
                    return self.send(&frame).await;
                }
                JournalRead::Batch(batch) => {
                    self.revisions[index] = batch.to;
                    let frame = Frame::Changes {
                        collection: number,
                        from: batch.from,
                        to: batch.to,
                        body: batch.body.to_vec(),
                    };
                    self.send(&frame).await?;
                }
            }
        }
    }

    async fn send(&mut self, frame: &Frame) -> io::Result<()> {
        let bytes = framing::send(&mut self.writer, frame).await?;
        if let Some(distance) = self.distance {
            let costs = &self.node.metrics.costs;
            costs.record_bytes(Flow::Feed, distance, bytes);
        }
        Ok(())
    }
}
