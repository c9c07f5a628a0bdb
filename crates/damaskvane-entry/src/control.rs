//! The control thread: configuration, membership and steering of this instance.
//!
//! It owns every slow decision and publishes the results: a serving state for look-ups, a directory
//! for the engine, an address book for the peers. `configuration` drives the relay of the
//! configuration, `fleet` the membership, `steering` the plan; each turns actions of pure decision code
//! into calls and messages, and their ends back into events.
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

/// What the control thread works with.
pub struct Control {
    record: api::InstanceRecord,
    serving: Arc<serving::Serving>,
    engine: flume::Sender<inbox::Input>,
    peers: Arc<peers::Peers>,
    store: store::Store,
    status: status::Source,
    health: flume::Sender<Vec<health_reports::Asked>>,
    stop: flume::Sender<()>,
    own_inbox: flume::Sender<ControlInput>,
    logger: slog::Logger,
    relay: relay::Relay,
    watch: configuration::Watch,
    membership: view::Membership,
    list: fleet::ListReads,
    steering: steering::Steering,
}

/// The parts that a control thread is made of.
pub struct ControlParts {
    /// What this instance announces of itself.
    pub record: api::InstanceRecord,
    /// The settings.
    pub settings: settings::EntrySettings,
    /// Instances to ask while the platform is down.
    pub seeds: peers::Seeds,
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
    /// Which backend servers are asked for their health.
    pub health: flume::Sender<Vec<health_reports::Asked>>,
    /// Asks the process to stop as if an operator had.
    pub stop: flume::Sender<()>,
    /// The control thread's own inbox, for the ends of what it starts.
    pub own_inbox: flume::Sender<ControlInput>,
    /// The log.
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
    /// A control thread's worth of state, not yet running.
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
        let memberships = membership_settings::MembershipSettings {
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
            membership: view::Membership::new(own, memberships, now),
            list: fleet::ListReads::new(seed, parts.seeds),
            steering: steering::Steering::default(),
        }
    }

    /// Runs until every sender of the inbox is gone.
    pub fn run(mut self, inbox: &flume::Receiver<ControlInput>) {
        let mut service = timer::TimerService::new(self.now());
        let timers = Timers {
            relay: service.subscribe(RELAY_PERIOD),
            membership: service.subscribe(MEMBERSHIP_PERIOD),
            plan: service.subscribe(PLAN_PERIOD),
            maintenance: service.subscribe(MAINTENANCE_PERIOD),
        };
        self.announce();
        self.ask_seeds();
        self.tell_relay(relay::Event::Tick);
        loop {
            let due = service.next_due().unwrap_or_else(|| self.now());
            match inbox.recv_timeout(due.since(self.now()).to_duration()) {
                Ok(input) => self.handle(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            for fired in service.advance(self.now()) {
                self.fire(fired, timers);
            }
        }
    }

    fn now(&self) -> time::TimeMs {
        self.serving.clock.now()
    }

    fn fire(&mut self, fired: timer::TimerId, timers: Timers) {
        if fired == timers.relay {
            self.tell_relay(relay::Event::Tick);
            self.watch_if_due();
        } else if fired == timers.membership {
            self.tell_membership(view::Event::Tick);
            self.read_list_if_due();
        } else if fired == timers.plan {
            self.report();
            self.steer();
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
            } => self.tell_membership(view::Event::Probed {
                instance,
                incarnation,
                outcome,
            }),
            ControlInput::Leave => self.leave(),
        }
    }

    fn handle_peer(&mut self, received: transport::Received<wire::WireMessage>) {
        let from = received.from;
        match received.message {
            wire::WireMessage::Heartbeat(heartbeat) => {
                self.heartbeat(from, received.incarnation, heartbeat);
            }
            wire::WireMessage::Fleet(message) => self.fleet(message),
            wire::WireMessage::Load(load) => self.take_load(from, load),
            wire::WireMessage::Digests(bundle) => self.take_digests(&from, bundle),
            wire::WireMessage::Configuration(message) => self.configuration(from, message),
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
        self.measure();
        self.publish_status();
        self.publish_steering();
    }

    /// A planned stop: look-up answers of all instances leave this one out from now on.
    fn leave(&mut self) {
        if self.record.leaving {
            return;
        }
        info!(self.logger, "leaving look-up answers");
        self.record.leaving = true;
        self.status.leaving.store(1, Ordering::Release);
        self.announce();
        self.tell_membership(view::Event::Leave);
        self.tell_leave();
        self.publish();
        let _ = self.engine.send(inbox::Input::Event(event::Event::Leave));
    }
}
