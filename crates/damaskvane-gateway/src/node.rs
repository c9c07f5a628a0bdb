//! State that all tasks of an entry instance share.
//!
//! A relay is an instance that sends the store's changes to the other instances of its zone. An incarnation is one
//! start of an instance's process.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::configuration::Configuration;
use damaskvane_routing::limit::RetryBudget;
use damaskvane_routing::peers::{IncarnationKey, ListedInstance, Members, Phase, Relay};
use damaskvane_routing::placement::Placer;
use damaskvane_routing::pool::{ExchangeId, ServerPool};
use damaskvane_routing::reachability::{Reachability, ReachabilitySettings, TunnelPeers};
use damaskvane_routing::split::Splits;
use tokio::sync::Notify;

use crate::adapter::Adapter;
use crate::clients;
use crate::clock::ContinuousClock;
use crate::crashes::CrashTracker;
use crate::decision_log::DecisionLog;
use crate::evidence::Evidence;
use crate::messages::Outbox;
use crate::metrics::Metrics;
use crate::quota::Quotas;
use crate::server_tokens::ServerTokens;
use crate::settings::GatewaySettings;
use crate::stop::Stop;
use crate::store::{Feed, Journal, StoreHealth};
use crate::tunnel::CarriedTunnels;
use crate::upstream::IdleConnections;

/// Age of the process up to which requests wait for what is missing, in milliseconds. After a restart, other instances
/// or the store send everything within a part of this time; a client that is refused instead comes back later than that.
pub(crate) const STARTUP_MS: u64 = 800;

/// The configuration, servers and instances that this instance knows, and the state of its routing decisions.
#[derive(Debug)]
pub struct State {
    /// Active configuration; `None` until this process has received a configuration.
    pub configuration: Option<Rc<Configuration>>,
    /// Known backend servers.
    pub pool: ServerPool,
    /// Whether a complete list of the backend servers was read since the start of the process.
    pub are_servers_listed: bool,
    /// Whether all evacuations were read since the start of the process.
    pub are_evacuations_listed: bool,
    /// Selects the backend server of a request.
    pub placer: Placer,
    /// State by which the requests of each route are split among services by weight.
    pub splits: Splits,
    /// Retry budget of each service, which limits the number of retries to the service's servers.
    pub budgets: HashMap<ids::ServiceId, RetryBudget>,
    /// Table of all entry instances.
    pub members: Members,
    /// Whether this instance itself reaches the backend servers.
    pub reach: Reachability,
    /// The instances that carry connections to servers which this instance does not reach.
    pub tunnel_peers: TunnelPeers,
}

impl State {
    /// Returns whether everything was read from the store that decides where requests go.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.are_servers_listed && self.are_evacuations_listed
    }
}

/// Shared state of one instance's tasks, which all run on one thread.
pub struct Node {
    /// Adapter to the platform's protocols.
    pub adapter: Box<dyn Adapter>,
    /// Active settings.
    pub settings: RefCell<Rc<GatewaySettings>>,
    /// Configuration, servers and instances, and the state of routing decisions.
    pub state: RefCell<State>,
    /// Connections to backend servers that carry no request now and can be reused.
    pub idle: RefCell<IdleConnections>,
    /// State of the planned stop of the process.
    pub stop: Stop,
    /// Availability of the platform's store, and the source of its changes: the store itself or a relay.
    pub store: StoreHealth,
    /// Proof that the configuration of this instance is the newest one.
    pub evidence: Evidence,
    /// Messages to other instances that are sent as soon as possible.
    pub outbox: Outbox,
    /// Tokens of teams' quotas.
    pub quotas: Quotas,
    /// Tokens of servers with a limit.
    pub(crate) server_tokens: ServerTokens,
    /// Recent changes of the store, to be sent to other instances of the zone.
    pub journal: Journal,
    /// Changes of the store that were received from a relay and not yet applied.
    pub feed: Feed,
    /// Requests that have crashed backend servers, or are suspected to have done so.
    pub crashes: CrashTracker,
    /// Notifies the task that sends health probes, so that it checks for due probes at once.
    pub probe_requested: Notify,
    /// Notifies the task that checks the reach of servers that this instance has begun to doubt it.
    pub reach_doubted: Notify,
    /// When the last change of the reach of servers was logged.
    pub reach_logged_at: Cell<TimeMs>,
    /// Connections to servers that this instance carries for others.
    pub(crate) carried_tunnels: CarriedTunnels,
    /// Notifies requests that wait for the start of the process that another collection was read.
    pub startup_progress: Notify,
    /// Incarnation of this instance, which identifies the start of this process.
    pub incarnation: ids::Incarnation,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Log of the process.
    pub log: DecisionLog,
    /// Bytes of request bodies that are buffered now.
    pub buffered_body_bytes: Cell<usize>,
    /// Bytes reserved for responses that wait behind others of their connections.
    pub pipelined_bytes: Cell<usize>,
    started: Instant,
    /// Clock that also runs while the machine is suspended.
    continuous_clock: ContinuousClock,
    last_exchange: Cell<u64>,
}

impl core::fmt::Debug for Node {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        f.debug_struct("Node")
            .field("instance", &self.settings.borrow().instance)
            .finish_non_exhaustive()
    }
}

impl Node {
    /// Creates the state of an instance that has received nothing from the store or its peers.
    #[must_use]
    pub fn new(
        adapter: Box<dyn Adapter>,
        settings: GatewaySettings,
        incarnation: ids::Incarnation,
        log: slog::Logger,
        metrics: Metrics,
    ) -> Self {
        let regions: Vec<_> = settings
            .regions
            .iter()
            .map(|(zone, region)| (zone.clone(), region.clone()))
            .collect();
        let mut members = Members::new(settings.peers(), settings.instance.clone(), regions);
        members.set_seeds(settings.seed_addresses());
        let state = State {
            configuration: None,
            pool: ServerPool::new(settings.pool()),
            are_servers_listed: false,
            are_evacuations_listed: false,
            placer: Placer::new(
                settings.placement.clone(),
                settings.zone.clone(),
                settings.region.clone(),
            ),
            splits: Splits::default(),
            budgets: HashMap::new(),
            members,
            reach: Reachability::new(ReachabilitySettings::default()),
            tunnel_peers: TunnelPeers::new(ReachabilitySettings::default()),
        };
        let quotas = Quotas::new(settings.quota());
        let log = DecisionLog::new(log, settings.decision_log);
        Self {
            adapter,
            settings: RefCell::new(Rc::new(settings)),
            state: RefCell::new(state),
            idle: RefCell::new(IdleConnections::default()),
            stop: Stop::default(),
            store: StoreHealth::default(),
            evidence: Evidence::default(),
            outbox: Outbox::default(),
            quotas,
            server_tokens: ServerTokens::default(),
            journal: Journal::default(),
            feed: Feed::default(),
            crashes: CrashTracker::default(),
            probe_requested: Notify::new(),
            reach_doubted: Notify::new(),
            reach_logged_at: Cell::new(TimeMs::ZERO),
            carried_tunnels: CarriedTunnels::default(),
            startup_progress: Notify::new(),
            incarnation,
            metrics,
            log,
            buffered_body_bytes: Cell::new(0),
            pipelined_bytes: Cell::new(0),
            started: Instant::now(),
            continuous_clock: ContinuousClock::start(),
            last_exchange: Cell::new(0),
        }
    }

    /// Returns the time since the node was created, in milliseconds.
    #[must_use]
    pub fn now(&self) -> TimeMs {
        let elapsed_ms = self.started.elapsed().as_millis();
        TimeMs::new(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// Returns the time since the node was created, in milliseconds, on a clock that also runs while the machine is
    /// suspended.
    ///
    /// What another process may rely on is counted by this clock: a machine that was suspended must not take an old
    /// proof for a new one.
    #[must_use]
    pub fn continuous_now(&self) -> TimeMs {
        self.continuous_clock.now()
    }

    /// Returns the active settings.
    #[must_use]
    pub fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Returns the active configuration; `None` until this process has received a configuration.
    #[must_use]
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.state.borrow().configuration.clone()
    }

    /// Returns the key that identifies this instance's incarnation in messages.
    #[must_use]
    pub fn incarnation_key(&self) -> IncarnationKey {
        IncarnationKey::new(&self.settings().instance, self.incarnation)
    }

    /// Returns whether the process is in its first moments, in which it receives what it needs to serve requests.
    #[must_use]
    pub fn is_starting_up(&self) -> bool {
        self.now().get() < STARTUP_MS
    }

    /// Returns this instance's rank among the relays of its zone, from 0; `None` if this instance is not a relay.
    #[must_use]
    pub fn relay_rank(&self) -> Option<usize> {
        let settings = self.settings();
        let members = &self.state.borrow().members;
        let relays = members.relays(self.now(), &settings.zone);
        let is_this_instance = |relay: &Relay| relay.instance == settings.instance;
        relays.iter().position(is_this_instance)
    }

    /// Returns the record that this instance writes to the store.
    #[must_use]
    pub fn own_record(&self) -> ListedInstance {
        let settings = self.settings();
        ListedInstance {
            instance: settings.instance.clone(),
            peer_address: settings.peer_address,
            zone: Some(settings.zone.clone()),
            created: 0,
        }
    }

    /// Returns an unused id for an exchange, which is one request to a backend server with its response.
    pub fn next_exchange_id(&self) -> ExchangeId {
        let id = self.last_exchange.get() + 1;
        self.last_exchange.set(id);
        ExchangeId(id)
    }

    /// Returns the phase of this instance.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.stop.is_leaving() {
            return Phase::Leaving;
        }
        let state = self.state.borrow();
        let has_joined = state.members.has_joined(self.now());
        let is_complete = state.is_complete();
        drop(state);
        if !is_complete || !has_joined {
            Phase::Starting
        } else if self.evidence.newest().is_some() && !clients::may_serve_keys(self) {
            Phase::Limited
        } else {
            // A process that has no proof yet receives one soon. If it announced that it has none, all callers of a zone
            // that starts would be sent to its first instances with one, or to other zones.
            Phase::Ready
        }
    }
}
