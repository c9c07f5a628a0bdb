//! Where changes come from, by what is heard and how fresh it is.
//!
//! The first instance of a region's first zone watches the store, and that of the second zone stands by: it hears from
//! the first one. The first instance of every other zone hears from one of them, and the others of a zone from its
//! first two. Whoever hears nothing fresh finds out whether the store answers it, and watches it itself if so: the one
//! that stands by at once, those that others rely on a moment later, and all others after that, since in most cases
//! their source has found a way by then.

use std::net;
use std::rc::Rc;

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::peers::Relay;

use crate::node::Node;
use crate::store::Source;

/// The age of the last word after which a source is silent.
const SILENT_MS: u64 = 900;
/// The age of the store's last answer after which a source knows nothing fresh.
const STORE_STALE_MS: u64 = 1_100;
/// The same for an instance that hears from a relay which itself hears from another one.
const STORE_STALE_BEHIND_RELAY_MS: u64 = 1_400;
/// How long an instance waits for its source before it watches the store: a relay, and one that no other relies on.
const PATIENCE_RELAY_MS: u64 = 200;
const PATIENCE_MS: u64 = 400;
/// How long a new process listens for heartbeats before it takes itself for a watcher: instances that start together
/// have heard each other by then, and only the first of them watch the store.
const SETTLED_MS: u64 = 450;
/// How long a new relay waits for a watcher to have read everything, and how long others wait for their relay.
const START_PATIENCE_RELAY_MS: u64 = 1_500;
const START_PATIENCE_MS: u64 = 2_200;

/// What this instance is for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Standing {
    /// It watches the store for its region.
    Watcher,
    /// It watches the store when the watcher can't, and hears from the instances at these addresses until then.
    StandBy(Vec<net::SocketAddr>),
    /// It hands on in its zone what it hears from the instances at these addresses, the best one first.
    Relay(Vec<net::SocketAddr>),
    /// No other one relies on it; the same.
    Listener(Vec<net::SocketAddr>),
}

impl Standing {
    /// Where the instance may hear from.
    pub(super) fn sources(&self) -> &[net::SocketAddr] {
        match self {
            Self::Watcher => &[],
            Self::StandBy(sources) | Self::Relay(sources) | Self::Listener(sources) => sources,
        }
    }

    fn stale_ms(&self) -> u64 {
        match self {
            Self::Watcher | Self::StandBy(_) | Self::Relay(_) => STORE_STALE_MS,
            Self::Listener(_) => STORE_STALE_BEHIND_RELAY_MS,
        }
    }

    fn patience_ms(&self) -> u64 {
        match self {
            Self::Watcher | Self::StandBy(_) => 0,
            Self::Relay(_) => PATIENCE_RELAY_MS,
            Self::Listener(_) => PATIENCE_MS,
        }
    }

    fn start_patience_ms(&self) -> u64 {
        match self {
            Self::Watcher => SETTLED_MS,
            Self::StandBy(_) | Self::Relay(_) => START_PATIENCE_RELAY_MS,
            Self::Listener(_) => START_PATIENCE_MS,
        }
    }
}

/// What the instance is now.
///
/// An instance that the store doesn't answer hears from anybody: the store may turn some machines away while others
/// still reach it, and a machine that knows nothing of an evacuation or a drain would go on sending requests there.
pub(super) fn standing(node: &Rc<Node>) -> Standing {
    let settings = node.settings();
    let state = node.state.borrow();
    let now = node.now();
    let is_own = |relay: &Relay| relay.instance == settings.instance;
    let mut watchers = state.members.watchers(now, &settings.region);
    let is_lost = node.store.is_own_contact_lost();
    // The first of a later zone knows no other zone's instances at its start, and takes itself for a watcher.
    let may_be_mistaken = now.get() < START_PATIENCE_RELAY_MS && !state.members.is_of_first_zones();
    let watch = watchers.iter().position(is_own);
    let watch = watch.filter(|_| !is_lost && !may_be_mistaken);
    if watch == Some(0) {
        return Standing::Watcher;
    }
    let mut relays = state.members.relays(now, &settings.zone);
    let rank = relays.iter().position(is_own);
    // Listeners spread over their sources by the bytes of their names.
    let spread: usize = settings.instance.as_str().bytes().map(usize::from).sum();
    if let Some(rank) = rank {
        relays.truncate(rank);
    }
    if let Some(watch) = watch {
        watchers.truncate(watch);
    }
    if rank.is_none() && !relays.is_empty() {
        let first = spread % relays.len();
        relays.rotate_left(first);
    }
    if !watchers.is_empty() {
        let near = watchers.iter().position(|one| one.zone == settings.zone);
        let first = near.unwrap_or(spread % watchers.len());
        watchers.rotate_left(first);
    }
    let mut sources: Vec<_> = relays.into_iter().chain(watchers).collect();
    sources.retain(|one| !is_own(one));
    let mut addresses: Vec<_> = sources.into_iter().map(|one| one.address).collect();
    if is_lost {
        let usable = state.members.usable(now);
        let others = usable.filter(|one| one.instance != settings.instance);
        let mut others: Vec<_> = others.map(|one| one.peer_address).collect();
        // Those that lose the store together don't all ask the same ones first.
        let first = spread % others.len().max(1);
        others.rotate_left(first);
        addresses.extend(others);
    }
    addresses.dedup();
    match (watch, rank) {
        (Some(_), _) => Standing::StandBy(addresses),
        (None, Some(_)) => Standing::Relay(addresses),
        (None, None) => Standing::Listener(addresses),
    }
}

/// What was heard of the store last, and since when that isn't fresh.
#[derive(Debug, Clone, Copy)]
pub(super) struct Heard {
    at: Option<TimeMs>,
    store_age: SpanMs,
    stale_since: Option<TimeMs>,
}

impl Default for Heard {
    fn default() -> Self {
        Self {
            at: None,
            store_age: SpanMs::new(u64::MAX),
            // A new process has heard nothing yet.
            stale_since: Some(TimeMs::ZERO),
        }
    }
}

impl Heard {
    /// Takes in a source's word on the age of the store's last answer.
    pub(super) const fn note(&mut self, now: TimeMs, store_age: SpanMs) {
        self.at = Some(now);
        self.store_age = store_age;
    }

    fn is_fresh(&self, now: TimeMs, stale_ms: u64) -> bool {
        let is_heard = self.at.is_some_and(|at| now.since(at).get() <= SILENT_MS);
        is_heard && self.store_age.get() <= stale_ms
    }

    /// Since when nothing fresh was heard; none while it is fresh.
    pub(super) fn stale_since(&mut self, now: TimeMs, stale_ms: u64) -> Option<TimeMs> {
        if self.is_fresh(now, stale_ms) {
            self.stale_since = None;
        } else {
            self.stale_since.get_or_insert(now);
        }
        self.stale_since
    }
}

/// Decides where changes come from.
pub(super) fn decide(node: &Rc<Node>) {
    let now = node.now();
    let standing = standing(node);
    let stale_since = node.feed.stale_since(now, standing.stale_ms());
    let current = node.store.source();
    let is_settling = current == Source::Undecided && !is_settled(node);
    let wanted = match stale_since {
        _ if standing == Standing::Watcher && !is_settling => Source::Store,
        None => Source::Relay,
        // It watches the store already, and goes on until something fresh is heard.
        Some(_) if current == Source::Store => Source::Store,
        Some(since) if may_watch(node, now, since, &standing) => Source::Store,
        Some(_) => Source::Undecided,
    };
    if node.store.set_source(wanted) {
        slog::info!(node.log.log, "source of changes"; "source" => ?wanted,
            "stale_ms" => stale_since.map(|since| now.since(since).get()));
    }
}

/// Whether the instance knows who of its zone is at work: it has listened for a while, or is the first one of those
/// that were there before, which all others expect to watch the store.
pub(super) fn is_settled(node: &Rc<Node>) -> bool {
    node.now().get() >= SETTLED_MS || node.state.borrow().members.is_first_listed()
}

/// Whether an instance that hears nothing fresh watches the store itself: the store must have answered it since, and
/// its source must have had time to find another way.
fn may_watch(node: &Rc<Node>, now: TimeMs, since: TimeMs, standing: &Standing) -> bool {
    let answered_at = node.store.own_answered_at();
    let is_answered = answered_at.is_some_and(|at| at >= since);
    let is_patient = now.since(since).get() >= standing.patience_ms();
    is_answered && is_patient && now.get() >= standing.start_patience_ms()
}
