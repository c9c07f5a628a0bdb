//! What all tasks of an instance share.

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
use damaskvane_routing::split::Splits;
use tokio::sync::Notify;

use crate::adapter::Adapter;
use crate::crashes::Crashes;
use crate::decision_log::DecisionLog;
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::stop::Stop;
use crate::store::{Feed, Journal, StoreHealth};
use crate::upstream::IdleConnections;

/// What is believed and decided from.
#[derive(Debug)]
pub struct State {
    /// The configuration in force, once one is known.
    pub configuration: Option<Rc<Configuration>>,
    /// The backend servers.
    pub pool: ServerPool,
    /// Whether the servers were listed since the start.
    pub are_servers_listed: bool,
    /// Places requests.
    pub placer: Placer,
    /// The sequences of weighted routes.
    pub splits: Splits,
    /// Retries of each service.
    pub budgets: HashMap<ids::ServiceId, RetryBudget>,
    /// The other instances.
    pub members: Members,
}

/// Everything that tasks of one instance share; they all run on one thread.
pub struct Node {
    /// Translates between the platform and the product.
    pub adapter: Box<dyn Adapter>,
    /// The settings in force.
    pub settings: RefCell<Rc<GatewaySettings>>,
    /// What is believed.
    pub state: RefCell<State>,
    /// Kept connections to backend servers.
    pub idle: RefCell<IdleConnections>,
    /// The state of the planned stop.
    pub stop: Stop,
    /// Whether the store answers.
    pub store: StoreHealth,
    /// The changes heard, for other instances of the zone.
    pub journal: Journal,
    /// The changes that come from a relay.
    pub feed: Feed,
    /// Requests that crash what runs them.
    pub crashes: Crashes,
    /// Asks for a look at the probes that are due, before the next one by time.
    pub probe_wanted: Notify,
    /// Which start of the instance this is.
    pub incarnation: ids::Incarnation,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The log.
    pub log: DecisionLog,
    /// Bytes of requests' bodies that are held.
    pub buffered_body_bytes: Cell<usize>,
    started: Instant,
    exchanges: Cell<u64>,
}

impl core::fmt::Debug for Node {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        f.debug_struct("Node")
            .field("instance", &self.settings.borrow().instance)
            .finish_non_exhaustive()
    }
}

impl Node {
    /// A node that knows nothing yet.
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
            placer: Placer::new(
                settings.placement.clone(),
                settings.zone.clone(),
                settings.region.clone(),
            ),
            splits: Splits::default(),
            budgets: HashMap::new(),
            members,
        };
        let log = DecisionLog::new(log, settings.decision_log);
        Self {
            adapter,
            settings: RefCell::new(Rc::new(settings)),
            state: RefCell::new(state),
            idle: RefCell::new(IdleConnections::default()),
            stop: Stop::default(),
            store: StoreHealth::default(),
            journal: Journal::default(),
            feed: Feed::default(),
            crashes: Crashes::default(),
            probe_wanted: Notify::new(),
            incarnation,
            metrics,
            log,
            buffered_body_bytes: Cell::new(0),
            started: Instant::now(),
            exchanges: Cell::new(0),
        }
    }

    /// The time since the start of the process.
    #[must_use]
    pub fn now(&self) -> TimeMs {
        let elapsed_ms = self.started.elapsed().as_millis();
        TimeMs::new(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// The settings in force.
    #[must_use]
    pub fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.state.borrow().configuration.clone()
    }

    /// Names this start of the instance.
    #[must_use]
    pub fn incarnation_key(&self) -> IncarnationKey {
        IncarnationKey::new(&self.settings().instance, self.incarnation)
    }

    /// Which of the instances that hand changes on in the zone this one is, if it is one.
    #[must_use]
    pub fn relay_rank(&self) -> Option<usize> {
        let settings = self.settings();
        let members = &self.state.borrow().members;
        let relays = members.relays(self.now(), &settings.zone);
        let is_own = |relay: &Relay| relay.instance == settings.instance;
        relays.iter().position(is_own)
    }

    /// The instance's record in the store.
    #[must_use]
    pub fn own_record(&self) -> ListedInstance {
        let settings = self.settings();
        ListedInstance {
            instance: settings.instance.clone(),
            peer_address: settings.peer_address,
            zone: Some(settings.zone.clone()),
        }
    }

    /// A name for the next exchange.
    pub fn next_exchange_id(&self) -> ExchangeId {
        let id = self.exchanges.get() + 1;
        self.exchanges.set(id);
        ExchangeId(id)
    }

    /// Where the instance stands in its life.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.stop.is_leaving() {
            return Phase::Leaving;
        }
        let state = self.state.borrow();
        let has_joined = state.members.has_joined(self.now());
        if state.configuration.is_some() && state.are_servers_listed && has_joined {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }
}
