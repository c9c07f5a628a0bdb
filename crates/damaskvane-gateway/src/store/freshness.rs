//! Selects the source of the store's changes, by the age of the data that was received last.
//!
//! A watcher is an instance that receives changes from the store itself. A relay is an instance that sends the changes
//! to other instances of its zone. A subscriber is an instance that receives changes from another instance, its source.
//!
//! In each region the first instance of the first zone watches the store. The first instance of the second zone is the
//! standby and subscribes to the watcher. The first instance of every other zone subscribes to one of these two, and
//! the other instances of a zone subscribe to the zone's first two instances.
//!
//! An instance whose data is stale checks whether the store answers its calls, and if so watches the store itself. The
//! standby does so at once, relays a moment later, and all other instances after that, since in most cases their source
//! has found another path by then.

use std::net;
use std::rc::Rc;

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::peers::Relay;

use crate::node::Node;
use crate::store::{Source, health_check};

/// Time in milliseconds without a message from a source after which the source's data counts as stale.
const SILENT_MS: u64 = 900;
/// Age of the store's last response, in milliseconds, above which a source's data is stale.
const STORE_STALE_MS: u64 = 1_100;
/// The same age for a subscriber whose relay receives the changes from another instance.
const STORE_STALE_BEHIND_RELAY_MS: u64 = 1_400;
/// How long an instance with stale data waits for its source to recover before it watches the store itself, in
/// milliseconds: the first constant is for a relay, the second for an instance without subscribers.
const RELAY_SOURCE_TIMEOUT_MS: u64 = 200;
const SOURCE_TIMEOUT_MS: u64 = 400;
/// How long a new process collects heartbeats before it can act as a watcher, in milliseconds. Instances that
/// start together have received each other's heartbeats by then, and only the first of them watch the store.
const DISCOVERY_MS: u64 = 450;
/// How long after its start an instance waits before it watches the store itself, in milliseconds. The first constant
/// is for a relay or standby, and leaves a watcher the time to read all collections; the second is for an instance
/// without subscribers, and leaves its relay the time to do so.
const RELAY_STARTUP_TIMEOUT_MS: u64 = 1_500;
const STARTUP_TIMEOUT_MS: u64 = 2_200;

/// Time within which a source that has lost the store checks it again.
const CHECK_INTERVAL: SpanMs = SpanMs::new(health_check::CHECK_INTERVAL_MS);

/// Role of this instance in the relay of changes. The addresses are those of this instance's possible sources, best one
/// first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RelayRole {
    /// Watches the store for its region.
    Watcher,
    /// Subscribes to one of the addresses, and watches the store if the watcher fails.
    Standby(Vec<net::SocketAddr>),
    /// Subscribes to one of the addresses, and relays the changes within its zone.
    Relay(Vec<net::SocketAddr>),
    /// Subscribes to one of the addresses, and has no subscribers of its own.
    Subscriber(Vec<net::SocketAddr>),
}

impl RelayRole {
    /// Returns the addresses of the instances to subscribe to, best one first.
    pub(super) fn sources(&self) -> &[net::SocketAddr] {
        match self {
            Self::Watcher => &[],
            Self::Standby(sources) | Self::Relay(sources) | Self::Subscriber(sources) => sources,
        }
    }

    fn stale_ms(&self) -> u64 {
        match self {
            Self::Watcher | Self::Standby(_) | Self::Relay(_) => STORE_STALE_MS,
            Self::Subscriber(_) => STORE_STALE_BEHIND_RELAY_MS,
        }
    }

    fn source_timeout_ms(&self) -> u64 {
        match self {
            Self::Watcher | Self::Standby(_) => 0,
            Self::Relay(_) => RELAY_SOURCE_TIMEOUT_MS,
            Self::Subscriber(_) => SOURCE_TIMEOUT_MS,
        }
    }

    fn startup_timeout_ms(&self) -> u64 {
        match self {
            Self::Watcher => DISCOVERY_MS,
            Self::Standby(_) | Self::Relay(_) => RELAY_STARTUP_TIMEOUT_MS,
            Self::Subscriber(_) => STARTUP_TIMEOUT_MS,
        }
    }
}

/// Returns the current role of this instance in the relay of changes.
///
/// An instance whose calls the store does not answer may subscribe to any other instance. The store may reject the
/// calls of some machines only, and an instance that misses an evacuation of a zone or a drain of a server would
/// continue to send requests there.
pub(super) fn relay_role(node: &Rc<Node>) -> RelayRole {
    let settings = node.settings();
    let state = node.state.borrow();
    let now = node.now();
    let is_own = |relay: &Relay| relay.instance == settings.instance;
    let mut watchers = state.members.watchers(now, &settings.region);
    let is_access_lost = node.store.is_direct_access_lost();
    // At startup, the first instance of a zone that isn't among the region's first zones may have received no heartbeat
    // from those zones yet, and would take itself for a watcher.
    let may_lack_earlier_zones =
        now.get() < RELAY_STARTUP_TIMEOUT_MS && !state.members.is_in_watcher_zone();
    let watcher_rank = watchers.iter().position(is_own);
    let watcher_rank = watcher_rank.filter(|_| !is_access_lost && !may_lack_earlier_zones);
    if watcher_rank == Some(0) {
        return RelayRole::Watcher;
    }
    let mut relays = state.members.relays(now, &settings.zone);
    let relay_rank = relays.iter().position(is_own);
    // Subscribers distribute themselves over their sources by the byte sum of their names.
    let name_sum: usize = settings.instance.as_str().bytes().map(usize::from).sum();
    if let Some(relay_rank) = relay_rank {
        relays.truncate(relay_rank);
    }
    if let Some(watcher_rank) = watcher_rank {
        watchers.truncate(watcher_rank);
    }
    if relay_rank.is_none() && !relays.is_empty() {
        let first = name_sum % relays.len();
        relays.rotate_left(first);
    }
    if !watchers.is_empty() {
        let near = watchers.iter().position(|one| one.zone == settings.zone);
        let first = near.unwrap_or(name_sum % watchers.len());
        watchers.rotate_left(first);
    }
    let mut sources: Vec<_> = relays.into_iter().chain(watchers).collect();
    sources.retain(|one| !is_own(one));
    let mut addresses: Vec<_> = sources.into_iter().map(|one| one.address).collect();
    if is_access_lost {
        let usable = state.members.usable(now);
        let others = usable.filter(|one| one.instance != settings.instance);
        let mut others: Vec<_> = others.map(|one| one.peer_address).collect();
        // Makes instances that lose the store at the same time start with different sources.
        let first = name_sum % others.len().max(1);
        others.rotate_left(first);
        addresses.extend(others);
    }
    addresses.dedup();
    match (watcher_rank, relay_rank) {
        (Some(_), _) => RelayRole::Standby(addresses),
        (None, Some(_)) => RelayRole::Relay(addresses),
        (None, None) => RelayRole::Subscriber(addresses),
    }
}

/// Last store age that a source reported, and the time since when the data has been stale.
#[derive(Debug, Clone, Copy)]
pub(super) struct FreshnessTracker {
    received_at: Option<TimeMs>,
    store_age: SpanMs,
    stale_since: Option<TimeMs>,
}

impl Default for FreshnessTracker {
    fn default() -> Self {
        Self {
            received_at: None,
            store_age: SpanMs::new(u64::MAX),
            // A new process has received nothing yet.
            stale_since: Some(TimeMs::ZERO),
        }
    }
}

impl FreshnessTracker {
    /// Records that a source reported at `now` that the store's last response was `store_age` ago.
    pub(super) const fn record(&mut self, now: TimeMs, store_age: SpanMs) {
        self.received_at = Some(now);
        self.store_age = store_age;
    }

    fn is_fresh(&self, now: TimeMs, stale_ms: u64) -> bool {
        let is_recent = self
            .received_at
            .is_some_and(|at| now.since(at).get() <= SILENT_MS);
        is_recent && self.store_age.get() <= stale_ms
    }

    /// Returns the time since when the data has been stale, or `None` if it is fresh. Data is fresh if the
    /// last report is recent and the store's last response is not older than `stale_ms`.
    pub(super) fn stale_since(&mut self, now: TimeMs, stale_ms: u64) -> Option<TimeMs> {
        if self.is_fresh(now, stale_ms) {
            self.stale_since = None;
        } else {
            self.stale_since.get_or_insert(now);
        }
        self.stale_since
    }
}

/// Selects the source of changes again and logs a change of source.
pub(super) fn update_source(node: &Rc<Node>) {
    let now = node.now();
    let relay_role = relay_role(node);
    let stale_since = node.feed.stale_since(now, relay_role.stale_ms());
    let current = node.store.source();
    let is_discovering = current == Source::Undecided && !has_discovered_peers(node);
    let new_source = match stale_since {
        _ if relay_role == RelayRole::Watcher && !is_discovering => Source::Store,
        None => Source::Relay,
        // Keeps watching the store until a source sends fresh data.
        Some(_) if current == Source::Store => Source::Store,
        Some(since) if may_watch_store(node, now, since, &relay_role) => Source::Store,
        Some(_) => Source::Undecided,
    };
    if node.store.set_source(new_source) {
        slog::info!(node.log.log, "source of changes"; "source" => ?new_source,
            "stale_ms" => stale_since.map(|since| now.since(since).get()));
    }
}

/// Returns whether this instance is assumed to know the running instances of its zone. This holds after `DISCOVERY_MS`,
/// and at once for the zone's first listed instance, which all others expect to watch the store.
pub(super) fn has_discovered_peers(node: &Rc<Node>) -> bool {
    node.now().get() >= DISCOVERY_MS || node.state.borrow().members.is_first_listed()
}

/// Returns whether an instance with stale data may watch the store itself. The store must have answered this instance
/// since the data became stale, and this instance's source must have had time to find another path to the store.
///
/// After an outage this time begins when the source too has checked the store again. Otherwise all instances whose
/// checks come before their source's would watch the store at the moment at which it returns.
fn may_watch_store(node: &Rc<Node>, now: TimeMs, since: TimeMs, relay_role: &RelayRole) -> bool {
    let answered_at = node.store.directly_answered_at();
    let has_answered = answered_at.is_some_and(|at| at >= since);
    let regained_at = node.store.directly_regained_at();
    let source_checked_at = regained_at.map(|at| at + CHECK_INTERVAL);
    let waiting_since = source_checked_at.map_or(since, |at| at.max(since));
    let has_waited = now.since(waiting_since).get() >= relay_role.source_timeout_ms();
    has_answered && has_waited && now.get() >= relay_role.startup_timeout_ms()
}
