//! The control thread: configuration, membership and steering of this instance.
//!
//! It owns every slow decision and publishes the results: a serving state for look-ups, a directory
//! for the engine, an address book for the peers.
//!
//! ```
//! use damaskvane_entry::control;
//!
//! let input = control::ControlInput::Leave;
//! assert!(format!("{input:?}").contains("Leave"));
//! ```

mod input;

use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use damaskvane_config::{manifest, state};
use damaskvane_core::{hash, ids, time, timer};
use damaskvane_dispatch::home;
use damaskvane_platform::api;
use damaskvane_steering::{digest, plan, planner};
pub use input::ControlInput;
use slog::{info, warn};

use crate::inbox;
use crate::operator_api::status;
use crate::peers;
use crate::serving;
use crate::settings;
use crate::store;
use crate::translate;
use crate::wire;

const POLL: Duration = Duration::from_millis(50);
const WATCH_WAIT: time::SpanMs = time::SpanMs::new(20_000);
const RETRY_PAUSE: time::SpanMs = time::SpanMs::new(500);
const LIST_PERIOD: time::SpanMs = time::SpanMs::new(1_000);
const PLAN_PERIOD: time::SpanMs = time::SpanMs::new(500);
const MAINTENANCE_PERIOD: time::SpanMs = time::SpanMs::new(1_000);

/// What the control thread works with.
pub struct Control {
    record: api::InstanceRecord,
    settings: settings::EntrySettings,
    serving: Arc<serving::Serving>,
    engine: flume::Sender<inbox::Input>,
    peers: Arc<peers::Peers>,
    store: store::Store,
    status: status::Source,
    logger: slog::Logger,
    revision: api::Revision,
    head: Option<Box<manifest::Head>>,
    chunks: state::Chunks,
    config: Option<Arc<state::ConfigState>>,
    instances: BTreeMap<ids::InstanceId, api::InstanceRecord>,
    planner: planner::Planner,
    plan: Option<plan::Plan>,
    watch_again: Option<time::TimeMs>,
}

/// The parts that a control thread is made of.
pub struct ControlParts {
    /// What this instance announces of itself.
    pub record: api::InstanceRecord,
    /// The settings.
    pub settings: settings::EntrySettings,
    /// What look-ups are answered from.
    pub serving: Arc<serving::Serving>,
    /// The engine's inbox.
    pub engine: flume::Sender<inbox::Input>,
    /// Other instances.
    pub peers: Arc<peers::Peers>,
    /// The platform.
    pub store: store::Store,
    /// Where details for operators are published.
    pub status: status::Source,
    /// The log.
    pub logger: slog::Logger,
}

impl Control {
    /// A control thread's worth of state, not yet running.
    #[must_use]
    pub fn new(parts: ControlParts) -> Self {
        let own = (parts.record.instance.clone(), parts.record.clone());
        Self {
            record: parts.record,
            settings: parts.settings,
            serving: parts.serving,
            engine: parts.engine,
            peers: parts.peers,
            store: parts.store,
            status: parts.status,
            logger: parts.logger,
            revision: api::Revision::START,
            head: None,
            chunks: state::Chunks::new(),
            config: None,
            instances: BTreeMap::from([own]),
            planner: planner::Planner::new(planner::Settings::default()),
            plan: None,
            watch_again: None,
        }
    }

    /// Runs until every sender of the inbox is gone.
    pub fn run(mut self, inbox: &flume::Receiver<ControlInput>) {
        let mut timers = timer::TimerService::new(self.now());
        let heartbeat = timers.subscribe(time::SpanMs::new(self.settings.heartbeat_ms));
        let list = timers.subscribe(LIST_PERIOD);
        let steer = timers.subscribe(PLAN_PERIOD);
        let maintenance = timers.subscribe(MAINTENANCE_PERIOD);
        self.store
            .submit(store::StoreJob::Announce(self.record.clone()));
        self.store.submit(store::StoreJob::ListInstances);
        self.watch();
        loop {
            match inbox.recv_timeout(POLL) {
                Ok(input) => self.handle(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            for fired in timers.advance(self.now()) {
                match fired {
                    due if due == heartbeat => self.send_heartbeats(),
                    due if due == list => self.store.submit(store::StoreJob::ListInstances),
                    due if due == steer => self.steer(),
                    due if due == maintenance => self.peers.maintain(),
                    _ => {}
                }
            }
            if self.watch_again.is_some_and(|at| at <= self.now()) {
                self.watch();
            }
        }
    }

    fn now(&self) -> time::TimeMs {
        self.serving.clock.now()
    }

    fn handle(&mut self, input: ControlInput) {
        match input {
            ControlInput::Store(report) => self.handle_store(report),
            ControlInput::Peer(received) => self.handle_peer(*received),
            ControlInput::Leave => self.leave(),
        }
    }

    fn handle_peer(&mut self, received: damaskvane_peer::transport::Received<wire::WireMessage>) {
        match received.message {
            wire::WireMessage::Heartbeat(_) => {}
            wire::WireMessage::Engine(message) => {
                let from = home::Home::new(received.from, received.incarnation);
                let _ = self.engine.send(inbox::Input::Peer { from, message });
            }
        }
    }

    fn handle_store(&mut self, report: store::StoreReport) {
        match report {
            store::StoreReport::Head { head, revision } => {
                if let Some(revision) = revision {
                    self.revision = revision;
                    self.watch();
                }
                if let Some(head) = head {
                    self.offer_head(head);
                }
            }
            store::StoreReport::Chunks(chunks) => {
                self.chunks.extend(chunks);
                self.adopt();
            }
            store::StoreReport::Instances(instances) => self.take_instances(instances),
            store::StoreReport::Announced => info!(self.logger, "announced to the platform"),
            store::StoreReport::Unavailable { call } => {
                warn!(self.logger, "the platform did not answer"; "reason" => call);
                if call == "watch" || call == "head" {
                    self.watch_again = Some(self.now() + RETRY_PAUSE);
                }
            }
        }
    }

    fn watch(&mut self) {
        self.watch_again = None;
        self.store.submit(store::StoreJob::WatchHead {
            after: self.revision,
            wait: WATCH_WAIT,
        });
    }

    fn offer_head(&mut self, head: Box<manifest::Head>) {
        let in_force = self.serving.config_version();
        if head.version <= in_force {
            return;
        }
        let missing: Vec<hash::ContentHash> = head
            .objects
            .values()
            .map(|entry| entry.hash)
            .filter(|hash| !self.chunks.contains_key(hash))
            .collect();
        self.head = Some(head);
        if missing.is_empty() {
            self.adopt();
        } else {
            self.store.submit(store::StoreJob::ReadChunks(missing));
        }
    }

    fn adopt(&mut self) {
        let Some(head) = self.head.take() else {
            return;
        };
        match state::assemble(&head, &self.chunks) {
            Ok(config) => {
                info!(self.logger, "configuration in force";
                    "config_version" => head.version.get(), "ticket" => head.ticket.get());
                self.chunks
                    .retain(|hash, _| head.objects.values().any(|entry| entry.hash == *hash));
                self.config = Some(Arc::new(config));
                self.publish();
            }
            Err(problems) => {
                warn!(self.logger, "a head was not adopted";
                    "config_version" => head.version.get(), "reason" => format!("{problems:?}"));
            }
        }
    }

    fn take_instances(&mut self, records: Vec<api::InstanceRecord>) {
        let mut instances: BTreeMap<_, _> = records
            .into_iter()
            .map(|record| (record.instance.clone(), record))
            .collect();
        instances.insert(self.record.instance.clone(), self.record.clone());
        if instances != self.instances {
            self.instances = instances;
            self.publish();
        }
    }

    fn publish(&mut self) {
        let mut book = peers::AddressBook::default();
        for record in self.others() {
            let address = damaskvane_peer::address::PeerAddress::new(record.peer_address);
            book.insert(record.instance.clone(), address);
        }
        self.peers.set_book(book);
        let Some(config) = self.config.clone() else {
            return;
        };
        let directory = translate::directory(
            &config,
            &self.record.availability_zone,
            |server| self.owner(server),
            self.peer_instances(),
        );
        let _ = self
            .engine
            .send(inbox::Input::Directory(Arc::new(directory)));
        self.steer();
    }

    fn others(&self) -> impl Iterator<Item = &api::InstanceRecord> {
        self.instances
            .values()
            .filter(|record| record.instance != self.record.instance)
    }

    /// The instance of the own zone with the highest hash together with the backend server.
    fn owner(&self, server: &ids::BackendServerId) -> Option<ids::InstanceId> {
        self.instances
            .values()
            .filter(|record| record.availability_zone == self.record.availability_zone)
            .filter(|record| !record.leaving)
            .max_by_key(|record| {
                let text = format!("{server}/{}", record.instance);
                hash::ContentHash::of(text.as_bytes())
            })
            .map(|record| record.instance.clone())
    }

    fn peer_instances(
        &self,
    ) -> BTreeMap<ids::InstanceId, damaskvane_engine::directory::PeerInstance> {
        use damaskvane_engine::directory::{PeerInstance, Reachability};
        self.others()
            .map(|record| {
                let peer = PeerInstance {
                    incarnation: record.incarnation,
                    availability_zone: record.availability_zone.clone(),
                    reachability: if record.leaving {
                        Reachability::Leaving
                    } else {
                        Reachability::Live
                    },
                };
                (record.instance.clone(), peer)
            })
            .collect()
    }

    fn steer(&mut self) {
        let Some(config) = self.config.clone() else {
            return;
        };
        let topology = translate::topology(&config);
        let view = digest::View::default();
        let plan = self
            .planner
            .plan(&topology, &view, self.plan.as_ref(), self.now());
        self.plan = Some(plan.clone());
        self.serving.replace(serving::ServingState {
            version: config.version(),
            own_zone: Some(self.record.availability_zone.clone()),
            services: config
                .services()
                .iter()
                .map(|(id, service)| {
                    let ttl = service.lookup_ttl_ms;
                    (id.clone(), serving::LookupService { ttl })
                })
                .collect(),
            plan,
            entries: translate::entry_points(self.instances.values()),
            config: Some(config),
        });
    }

    fn send_heartbeats(&self) {
        let heartbeat = wire::WireMessage::Heartbeat(wire::Heartbeat {
            config_version: self.serving.config_version(),
            leaving: self.record.leaving,
        });
        for record in self.others() {
            if record.availability_zone == self.record.availability_zone {
                let _ = self.peers.send(&record.instance, &heartbeat);
            }
        }
    }

    fn leave(&mut self) {
        self.record.leaving = true;
        self.status.leaving.store(1, Ordering::Release);
        self.store
            .submit(store::StoreJob::Announce(self.record.clone()));
        self.instances
            .insert(self.record.instance.clone(), self.record.clone());
        self.send_heartbeats();
        self.publish();
        let _ = self.engine.send(inbox::Input::Leave);
    }
}
