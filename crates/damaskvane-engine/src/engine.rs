//! The engine: admits requests, finds them a slot, follows them to their final answer.
//!
//! The way of a request: `submit` looks its key up and queues it, `pump` finds a backend server with a
//! free slot, `ended` takes the end of the exchange and answers or tries again. A non-repeatable
//! request of another home goes through `forwarding`; a planned stop through `leaving`.
//!
//! ```
//! use damaskvane_dispatch::home;
//! use damaskvane_engine::engine;
//!
//! let me: home::Home = "e-1/1".parse()?;
//! let engine = engine::Engine::new(me, engine::EngineSettings::default());
//! assert_eq!(engine.running(), 0);
//! # Ok::<(), home::ParseHomeError>(())
//! ```

mod answers;
mod crashes;
mod ended;
mod expiry;
mod forwarding;
mod leaving;
mod load;
mod pending;
mod pulse;
mod pump;
mod renewal;
mod servers;
mod settings;
mod submit;

use std::collections::BTreeMap;
use std::sync::Arc;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{admission, home, retry};
use damaskvane_slots::exchange;
pub use load::{EngineLoad, EngineServiceLoad};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
pub use servers::DrainStatus;
pub use settings::EngineSettings;

use crate::event::{Action, Event, ExchangeNumber, RequestNumber};
use crate::{directory, message, peer};

type Keys = home::HomeTable<Arc<message::BackendResponse>>;

/// The request engine of one entry instance.
#[derive(Debug)]
pub struct Engine {
    me: home::Home,
    settings: EngineSettings,
    directory: Arc<directory::Directory>,
    keys: Keys,
    requests: BTreeMap<pending::LocalId, pending::Pending>,
    clients: BTreeMap<RequestNumber, pending::LocalId>,
    waiters: BTreeMap<home::WaiterId, pending::LocalId>,
    queue: admission::Queue<pending::LocalId>,
    /// Requests that have left the queue and wait for a certain slot: further tries, and suspects.
    held: Vec<pending::LocalId>,
    flights: BTreeMap<ExchangeNumber, pending::Flight>,
    servers: servers::Servers,
    crashes: crashes::Crashes,
    retries: BTreeMap<ids::ServiceId, retry::RetryPolicy>,
    departure: leaving::Departure,
    handed_to: Option<home::Home>,
    pulse: pulse::Pulse,
    rng: Pcg64Mcg,
    next_id: u64,
    load: EngineLoad,
    actions: Vec<Action>,
}

impl Engine {
    /// An engine without a configuration.
    #[must_use]
    pub fn new(me: home::Home, settings: EngineSettings) -> Self {
        Self {
            keys: home::HomeTable::new(me.clone(), settings.keys.clone()),
            rng: Pcg64Mcg::seed_from_u64(me.incarnation.get()),
            servers: servers::Servers::new(&me),
            me,

            directory: Arc::default(),
            requests: BTreeMap::new(),
            clients: BTreeMap::new(),
            waiters: BTreeMap::new(),
            queue: admission::Queue::new(settings.queue.clone()),
            held: Vec::new(),
            flights: BTreeMap::new(),
            crashes: crashes::Crashes::new(settings.quarantine.clone()),
            retries: BTreeMap::new(),
            departure: leaving::Departure::default(),
            handed_to: None,
            pulse: pulse::Pulse::default(),
            next_id: 1,
            load: EngineLoad::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// How many exchanges run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.flights.len()
    }

    /// Whether no request is under way in any form.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.flights.is_empty()
    }

    /// How many requests wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.held.len()
    }

    /// Backend servers that drain or have drained, for operators.
    pub fn draining(&self) -> impl Iterator<Item = DrainStatus> + '_ {
        self.servers.draining()
    }

    /// The home that look-ups name for this instance; its incarnation can be later than the process's.
    #[must_use]
    pub const fn home(&self) -> &home::Home {
        self.keys.home()
    }

    /// Whether a configuration is in force and requests could find a slot.
    #[must_use]
    pub fn is_ready(&self, now: time::TimeMs) -> bool {
        self.directory.version > ids::ConfigVersion::default() && self.servers.can_serve(now)
    }

    /// How the slots of each backend server stand, for operators.
    pub fn slots(&self, now: time::TimeMs) -> impl Iterator<Item = exchange::ServerStatus<'_>> {
        self.servers.slots(now)
    }

    /// How often this instance as an owner lent nothing, by reason.
    #[must_use]
    pub fn slot_refusals(&self) -> BTreeMap<&'static str, u64> {
        self.servers.slot_refusals()
    }

    /// How many idempotency keys are kept.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// Takes an event at a point in time and returns what is to be done, in order.
    #[must_use]
    pub fn handle(&mut self, now: time::TimeMs, event: Event) -> Vec<Action> {
        self.pulse.beat(now);
        match event {
            Event::Submit { number, request } => {
                self.submit(now, pending::Origin::Client(number), *request, 0);
            }
            Event::ClientDisconnected { number } => self.client_gone(now, number),
            Event::ExchangeEnded { exchange, end } => self.ended(now, exchange, end),
            Event::Peer { from, message } => self.peer(now, &from, *message),
            Event::Directory(directory) => {
                self.learn(now, directory);
                self.give_up_unreachable(now);
            }
            Event::Roster(roster) => self.servers.roster(now, *roster),
            Event::HealthReported {
                backend_server,
                healthy,
            } => self.servers.reported(now, &backend_server, healthy),
            Event::ClearQuarantine(fingerprint) => self.clear_by_operator(now, fingerprint),
            Event::Leave => self.leave(now),
            Event::Tick => {
                self.expire(now);
                self.renew_keys();
                self.advance_departure(now);
            }
        }
        self.pump(now);
        core::mem::take(&mut self.actions)
    }

    fn peer(&mut self, now: time::TimeMs, from: &home::Home, message: peer::PeerMessage) {
        match message {
            peer::PeerMessage::Forward(forward) => self.forwarded_here(now, from, forward),
            peer::PeerMessage::ForwardAnswer(answer) => self.forward_answered(now, from, answer),
            peer::PeerMessage::Handover(part) => self.take_over(now, from, *part),
            peer::PeerMessage::HandoverTaken(taken) => self.handover_taken(from, taken),
            peer::PeerMessage::Amendment(record) => self.amended(now, *record),
            peer::PeerMessage::Incident(incident) => self.incident_told(now, &incident),
            peer::PeerMessage::Cleared(fingerprint) => self.cleared_told(now, fingerprint),
            peer::PeerMessage::Slots(message) => self.servers.message(now, from, *message),
            peer::PeerMessage::Renewed(home) => self.renewal_told(from, home),
            peer::PeerMessage::Departed(departed) => {
                self.keys
                    .record_successor(now, departed.departed, departed.successor);
            }
        }
    }

    fn learn(&mut self, now: time::TimeMs, directory: Arc<directory::Directory>) {
        self.servers.learn(now, &directory);
        let before = core::mem::replace(&mut self.directory, directory);
        self.brief_newcomers(&before);
        for (id, service) in &self.directory.services {
            self.retries.entry(id.clone()).or_insert_with(|| {
                retry::RetryPolicy::new(retry::RetrySettings {
                    share_permille: service.retry_budget.get(),
                    ..self.settings.retries.clone()
                })
            });
        }
    }

    fn carry_slot_actions(&mut self) {
        for action in self.servers.take_actions() {
            match action {
                exchange::Action::Send { to, message } => self.actions.push(Action::Send {
                    to,
                    message: Box::new(peer::PeerMessage::Slots(Box::new(message))),
                }),
                exchange::Action::Available { .. } => {}
                exchange::Action::Broken { invariant } => {
                    self.actions.push(Action::Broken { invariant });
                }
            }
        }
    }

    fn next_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// An invariant is broken: the unsafe action is not taken. Under test the process stops here, so
    /// that the run that led to it can be read.
    fn broken(&mut self, invariant: &'static str) {
        self.actions.push(Action::Broken { invariant });
        debug_assert!(false, "invariant broken: {invariant}");
    }
}
