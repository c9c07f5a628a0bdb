//! The subscriber's side of the stream: connects to a source, an instance that sends the store's changes, and checks
//! whether its data is fresh.

use std::io;
use std::net;
use std::rc::Rc;

use bytes::Bytes;
use core::time::Duration;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::peers::IncarnationKey;
use damaskvane_routing::relay::Batch;
use damaskvane_routing::teams::ConfigEvidence;
use tokio::net::TcpStream;

use crate::framing;
use crate::node::Node;
use crate::store::feed::frames::{self, Echo, Frame, Hello};
use crate::store::feed::{FeedItem, IDLE_TIMEOUT, POLL_INTERVAL};
use crate::store::journal::Listing;
use crate::store::{Source, freshness, health_check};

/// Time in milliseconds that is added to the store age (the time since the store's last response) that a source
/// reports; longer than the transmission takes. Without this addition, instances that subscribe to each other in a ring
/// would report fresh data to each other forever.
const HOP_AGE_MS: u64 = 25;
/// Delay before the next source is tried if the current source has no fresh data.
const STALE_SOURCE_DELAY: Duration = Duration::from_millis(150);
/// The same delay for an instance that the store does not answer: the instance depends on a source that the store
/// answers. Also the delay between two attempts of such an instance to connect.
const STORE_LOST_DELAY: Duration = Duration::from_millis(30);
/// Time for which an instance stays subscribed to a source other than the best source before it tries the best source
/// again.
const FALLBACK_SPAN: Duration = Duration::from_secs(10);

/// Subscribes to one of the possible sources whenever a source exists, until the process ends.
pub async fn subscribe(node: Rc<Node>) {
    let mut next_source = 0;
    loop {
        let relay_role = freshness::relay_role(&node);
        let sources = relay_role.sources();
        if let Some(address) = sources.get(next_source % sources.len().max(1)).copied() {
            let is_best = address == sources[0];
            // The reason for the end of a subscription doesn't matter: the next source is tried.
            let subscription = subscribe_to(&node, address);
            if is_best {
                let _ = subscription.await;
                next_source += 1;
            } else if tokio::time::timeout(FALLBACK_SPAN, subscription)
                .await
                .is_err()
            {
                next_source = 0;
            } else {
                next_source += 1;
            }
        }
        tokio::time::sleep(retry_delay(&node, POLL_INTERVAL)).await;
    }
}

/// Returns the default delay, or `STORE_LOST_DELAY` if the store does not answer this instance.
fn retry_delay(node: &Rc<Node>, default: Duration) -> Duration {
    if node.store.is_direct_access_lost() {
        STORE_LOST_DELAY
    } else {
        default
    }
}

async fn subscribe_to(node: &Rc<Node>, address: net::SocketAddr) -> io::Result<()> {
    let connecting = TcpStream::connect(address);
    let mut stream = tokio::time::timeout(IDLE_TIMEOUT, connecting).await??;
    stream.set_nodelay(true)?;
    let feed = &node.feed;
    feed.clear();
    let mut echoes = EchoTimes::new(node);
    let hello = Hello {
        magic: frames::MAGIC,
        revisions: *feed.revisions.borrow(),
        echo: echoes.next(),
    };
    framing::send(&mut stream, &hello).await?;
    loop {
        let bytes = tokio::select! {
            read = tokio::time::timeout(IDLE_TIMEOUT, framing::read(&mut stream)) => read??,
            () = feed.listing_requests.notified() => return Ok(()),
        };
        match framing::decode(&bytes)? {
            Frame::Alive {
                store_age_ms,
                answered,
                echo,
                evidence,
            } => {
                if let (Some(evidence), Some(sent_at)) = (evidence, echoes.sent_at(echo)) {
                    let current_at = TimeMs::new(sent_at.get().saturating_sub(evidence.age_ms));
                    node.evidence.add(ConfigEvidence {
                        revision: evidence.revision,
                        current_at,
                    });
                }
                if echoes.is_needed() && echoes.has_returned(echo) {
                    framing::send(&mut stream, &echoes.next()).await?;
                }
                if !handle_store_age(node, store_age_ms, answered.map(IncarnationKey::from_wire)) {
                    // Another source may have fresher data. If the store is down for all instances, the delay does no
                    // harm.
                    tokio::time::sleep(retry_delay(node, STALE_SOURCE_DELAY)).await;
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
                let item = FeedItem::Batch(Batch { from, to, body });
                feed.push(frames::collection_of(collection)?, item);
            }
            Frame::Listing {
                collection,
                revision,
                pages,
                changes,
            } => {
                let item = FeedItem::Listing(Listing {
                    revision,
                    pages: frames::from_wire(pages),
                    changes: frames::from_wire(changes),
                });
                feed.push(frames::collection_of(collection)?, item);
            }
            Frame::Gone { collection } => {
                feed.push(frames::collection_of(collection)?, FeedItem::HistoryGone);
            }
        }
    }
}

/// The times at which this subscriber sent the numbers that its source echoes.
struct EchoTimes<'a> {
    node: &'a Rc<Node>,
    last: Echo,
    last_sent_at: TimeMs,
}

impl<'a> EchoTimes<'a> {
    fn new(node: &'a Rc<Node>) -> Self {
        Self {
            node,
            last: Echo::default(),
            last_sent_at: node.continuous_now(),
        }
    }

    /// Returns the number to send now.
    fn next(&mut self) -> Echo {
        self.last = Echo(self.last.0.wrapping_add(1));
        self.last_sent_at = self.node.continuous_now();
        self.last
    }

    /// Returns the time at which an echoed number was sent; `None` unless it is the last one.
    fn sent_at(&self, echo: Echo) -> Option<TimeMs> {
        self.has_returned(echo).then_some(self.last_sent_at)
    }

    fn has_returned(&self, echo: Echo) -> bool {
        echo == self.last
    }

    /// Returns whether this instance needs ages that it can rely on.
    fn is_needed(&self) -> bool {
        self.node.settings().revocation_bound().is_some()
    }
}

/// Records the source's report that the store's last response, to the incarnation `answered`, was `store_age_ms` ago.
/// Returns `false` if the source's data is not fresh.
fn handle_store_age(node: &Rc<Node>, store_age_ms: u64, answered: Option<IncarnationKey>) -> bool {
    let now = node.now();
    // A report that originates from this instance carries no new information and would circulate in a ring of
    // instances.
    let is_own_report = answered == Some(node.incarnation_key());
    let age = if is_own_report {
        SpanMs::new(u64::MAX)
    } else {
        SpanMs::new(store_age_ms.saturating_add(HOP_AGE_MS))
    };
    node.feed.record_store_age(now, age);
    freshness::update_source(node);
    if node.store.source() != Source::Relay {
        return false;
    }
    if let Some(answered) = answered {
        let at = TimeMs::new(now.get().saturating_sub(age.get()));
        health_check::handle_recovery(node, node.store.record_answer(at, answered));
    }
    true
}

/// Selects the source of changes again at short intervals, until the process ends.
pub async fn watch_freshness(node: Rc<Node>) {
    loop {
        freshness::update_source(&node);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
