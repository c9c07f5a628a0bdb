//! The control thread: configuration, membership and steering of this instance.
//!
//! The control thread makes the decisions that do not concern a single request, and publishes the results:
//! a serving state for lookups, a directory (services, backend servers of the zone, and known instances)
//! for the engine, an address book for the transport to peers. `configuration` drives the relay, which
//! fetches configurations from the platform or from peers. `fleet` drives the membership, which tracks the
//! other instances. `steering` computes the traffic plan. Each module turns the actions of pure decision
//! code into calls and messages, and their results into events.
//!
//! ```
//! use damaskvane_entry::control;
//!
//! let input = control::ControlInput::Leave;
//! assert!(format!("{input:?}").contains("Leave"));
//! ```

mod configuration;
mod fleet;
mod input;
mod notices;
mod publishing;
mod seeding;
mod shifts;
mod steering;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use damaskvane_config::relay;
use damaskvane_core::{time, timer};
use damaskvane_dispatch::home;
use damaskvane_engine::event;
use damaskvane_membership::{settings as membership_settings, view};
use damaskvane_objects::api;
use damaskvane_peer::transport;
pub use input::ControlInput;
use slog::info;

use crate::health_reports;
use crate::inbox;
use crate::operator_api::status;
use crate::peers;
use crate::serving;
use crate::settings;
use crate::store;
use crate::wire;

const RELAY_PERIOD: time::SpanMs = time::SpanMs::new(50);
const MEMBERSHIP_PERIOD: time::SpanMs = time::SpanMs::new(100);
const PLAN_PERIOD: time::SpanMs = time::SpanMs::new(500);
const MAINTENANCE_PERIOD: time::SpanMs = time::SpanMs::new(1_000);

/// State of the control thread, which [`Control::run`] runs.
pub struct Control {
    record: api::InstanceRecord,
    serving: Arc<serving::Serving>,
    engine: flume::Sender<inbox::Input>,
    peers: Arc<peers::Peers>,
    store: store::Store,
    status: status::Source,
    health: flume::Sender<Vec<health_reports::PolledServer>>,
    stop: flume::Sender<()>,
    own_inbox: flume::Sender<ControlInput>,
    logger: slog::Logger,
    relay: relay::Relay,
    watch: configuration::Watch,
    membership: view::Membership,
    instance_list: fleet::InstanceListState,
    steering: steering::Steering,
}

/// Arguments of [`Control::new`].
pub struct ControlParts {
    /// Record of this instance that is written to the platform's list of instances.
    pub record: api::InstanceRecord,
    /// Contents of the settings file.
    pub settings: settings::EntrySettings,
    /// Peers that this instance requests the list of instances from, until the platform or a peer has sent
    /// the list.
    pub seeds: peers::Seeds,
    /// State that the client API serves lookups from, with the counters and the clock.
    pub serving: Arc<serving::Serving>,
    /// Sender to the engine's thread.
    pub engine: flume::Sender<inbox::Input>,
    /// Transport to the other instances.
    pub peers: Arc<peers::Peers>,
    /// Threads that call the platform's object API.
    pub store: store::Store,
    /// Values that the operator API shows.
    pub status: status::Source,
    /// Sender to the polling thread, for the list of backend servers whose health is polled.
    pub health: flume::Sender<Vec<health_reports::PolledServer>>,
    /// Sender of requests to stop the process, with the same effect as SIGTERM.
    pub stop: flume::Sender<()>,
    /// Sender to the control thread itself, for the results of probes (connection attempts to instances
    /// whose heartbeats stopped).
    pub own_inbox: flume::Sender<ControlInput>,
    /// Logger with the instance and the availability zone as fields.
    pub logger: slog::Logger,
}

#[derive(Debug, Clone, Copy)]
struct Timers {
    relay: timer::TimerId,
    membership: timer::TimerId,
    plan: timer::TimerId,
    maintenance: timer::TimerId,
}

impl Control {
    /// Creates the state of the control thread; the caller starts the thread with [`Self::run`].
    #[must_use]
    pub fn new(parts: ControlParts) -> Self {
        let me = relay::Member {
            instance: parts.record.instance.clone(),
            availability_zone: parts.record.availability_zone.clone(),
        };
        let own = view::OwnInstance::new(
            parts.record.instance.clone(),
            parts.record.availability_zone.clone(),
            parts.record.incarnation,
        );
        let seed = parts.record.incarnation.get();
        let now = parts.serving.clock.now();
        let view_settings = membership_settings::MembershipSettings {
            min_period_ms: time::SpanMs::new(parts.settings.heartbeat_ms),
            ..membership_settings::MembershipSettings::default()
        };
        Self {
            record: parts.record,
            serving: parts.serving,
            engine: parts.engine,
            peers: parts.peers,
            store: parts.store,
            status: parts.status,
            health: parts.health,
            stop: parts.stop,
            own_inbox: parts.own_inbox,
            logger: parts.logger,
            relay: relay::Relay::new(me, relay::RelaySettings::default(), seed),
            watch: configuration::Watch::default(),
            membership: view::Membership::new(own, view_settings, now),
            instance_list: fleet::InstanceListState::new(seed, parts.seeds),
            steering: steering::Steering::default(),
        }
    }

    /// Runs until every sender of `inbox` is dropped.
    pub fn run(mut self, inbox: &flume::Receiver<ControlInput>) {
        let mut service = timer::TimerService::new(self.now());
        let timers = Timers {
            relay: service.subscribe(RELAY_PERIOD),
            membership: service.subscribe(MEMBERSHIP_PERIOD),
            plan: service.subscribe(PLAN_PERIOD),
            maintenance: service.subscribe(MAINTENANCE_PERIOD),
        };
        self.announce();
        self.request_list_from_seeds();
        self.drive_relay(relay::Event::Tick);
        loop {
            let due = service.next_due().unwrap_or_else(|| self.now());
            match inbox.recv_timeout(due.since(self.now()).to_duration()) {
                Ok(input) => self.handle(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            for fired in service.advance(self.now()) {
                self.handle_timer(fired, timers);
            }
        }
    }

    fn now(&self) -> time::TimeMs {
        self.serving.clock.now()
    }

    fn handle_timer(&mut self, fired: timer::TimerId, timers: Timers) {
        if fired == timers.relay {
            self.drive_relay(relay::Event::Tick);
            self.start_watch_if_due();
        } else if fired == timers.membership {
            self.drive_membership(view::Event::Tick);
            self.read_list_if_due();
        } else if fired == timers.plan {
            self.update_heartbeat_report();
            self.update_plan();
        } else if fired == timers.maintenance {
            self.maintain();
        }
    }

    fn handle(&mut self, input: ControlInput) {
        match input {
            ControlInput::Store(report) => self.handle_store(report),
            ControlInput::Peer(received) => self.handle_peer(*received),
            ControlInput::Probed {
                instance,
                incarnation,
                outcome,
            } => self.drive_membership(view::Event::Probed {
                instance,
                incarnation,
                outcome,
            }),
            ControlInput::Leave => self.leave(),
        }
    }

    fn handle_peer(&mut self, received: transport::Received<wire::WireMessage>) {
        let from = received.from;
        if !self.peers.knows(&from) && !received.message.names(&from, received.incarnation) {
            self.serving.counters.increment("peers", "unknown_sender");
            return;
        }
        match received.message {
            wire::WireMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(from, received.incarnation, heartbeat);
            }
            wire::WireMessage::Fleet(message) => self.handle_fleet(message),
            wire::WireMessage::Load(load) => self.handle_load(from, load),
            wire::WireMessage::Digests(bundle) => self.handle_digests(&from, bundle),
            wire::WireMessage::Configuration(message) => self.handle_configuration(from, message),
            wire::WireMessage::Engine(message) => {
                let from = home::Home::new(from, received.incarnation);
                let _ = self
                    .engine
                    .send(inbox::Input::Event(event::Event::Peer { from, message }));
            }
        }
    }

    fn maintain(&mut self) {
        self.peers.maintain();
        self.measure_load();
        self.publish_status();
        self.publish_steering();
    }

    /// Begins a planned stop: announces to the platform, to the peers and to the engine that this instance
    /// leaves, so that no instance names it in lookup responses any more.
    fn leave(&mut self) {
        if self.record.leaving {
            return;
        }
        info!(self.logger, "removing this instance from lookup responses");
        self.record.leaving = true;
        self.status.leaving.store(1, Ordering::Release);
        self.announce();
        self.drive_membership(view::Event::Leave);
        self.send_leave_notice();
        self.publish();
        let _ = self.engine.send(inbox::Input::Event(event::Event::Leave));
    }
}
