//! The engine, which admits requests, assigns each a slot of a backend server and returns its final response.
//!
//! The path of a request: `submit` looks up its idempotency key and queues it, `launch_waiting` sends it to a
//! backend server with a free slot, and `handle_exchange_end` responds or retries. Non-repeatable requests that
//! another instance has to run (their home) are handled in `forwarding`, a planned stop in `leaving`.
//!
//! A slot is the right to run one request on a backend server. An exchange is one request sent to a backend
//! server, with its response.
//!
//! ```
//! use damaskvane_dispatch::home;
//! use damaskvane_engine::engine;
//!
//! let own_home: home::Home = "e-1/1".parse()?;
//! let engine = engine::Engine::new(own_home, engine::EngineSettings::default());
//! assert_eq!(engine.running(), 0);
//! # Ok::<(), home::ParseHomeError>(())
//! ```

mod crashes;
mod ended;
mod expiry;
mod forwarding;
mod launch;
mod leaving;
mod load;
mod pause;
mod pending;
mod renewal;
mod responses;
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
    own_home: home::Home,
    settings: EngineSettings,
    directory: Arc<directory::Directory>,
    keys: Keys,
    requests: BTreeMap<pending::LocalId, pending::Pending>,
    clients: BTreeMap<RequestNumber, pending::LocalId>,
    waiters: BTreeMap<home::WaiterId, pending::LocalId>,
    queue: admission::Queue<pending::LocalId>,
    /// Requests that have left the queue and wait for a slot: retries, requests suspected of crashing servers,
    /// and requests for which no slot could be acquired.
    deferred: Vec<pending::LocalId>,
    active_exchanges: BTreeMap<ExchangeNumber, pending::ActiveExchange>,
    servers: servers::Servers,
    crashes: crashes::Crashes,
    retries: BTreeMap<ids::ServiceId, retry::RetryPolicy>,
    shutdown_state: leaving::ShutdownState,
    handover_target: Option<home::Home>,
    pause_detector: pause::PauseDetector,
    rng: Pcg64Mcg,
    next_id: u64,
    load: EngineLoad,
    actions: Vec<Action>,
}

impl Engine {
    /// Creates an engine without a configuration, which refuses all requests.
    #[must_use]
    pub fn new(own_home: home::Home, settings: EngineSettings) -> Self {
        Self {
            keys: home::HomeTable::new(own_home.clone(), settings.keys.clone()),
            rng: Pcg64Mcg::seed_from_u64(own_home.incarnation.get()),
            servers: servers::Servers::new(&own_home),
            own_home,

            directory: Arc::default(),
            requests: BTreeMap::new(),
            clients: BTreeMap::new(),
            waiters: BTreeMap::new(),
            queue: admission::Queue::new(settings.queue.clone()),
            deferred: Vec::new(),
            active_exchanges: BTreeMap::new(),
            crashes: crashes::Crashes::new(settings.quarantine.clone()),
            retries: BTreeMap::new(),
            shutdown_state: leaving::ShutdownState::default(),
            handover_target: None,
            pause_detector: pause::PauseDetector::default(),
            next_id: 1,
            load: EngineLoad::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Returns the number of exchanges in progress.
    #[must_use]
    pub fn running(&self) -> usize {
        self.active_exchanges.len()
    }

    /// Returns whether no request and no exchange is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.active_exchanges.is_empty()
    }

    /// Returns the number of requests that wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.deferred.len()
    }

    /// Returns the backend servers that drain or have drained, for operators.
    pub fn draining(&self) -> impl Iterator<Item = DrainStatus> + '_ {
        self.servers.draining()
    }

    /// Returns the home that lookup responses name for this instance: the instance and its incarnation, the
    /// number of its start or renewal. After a renewal the incarnation is later than that of the process.
    #[must_use]
    pub const fn home(&self) -> &home::Home {
        self.keys.home()
    }

    /// Returns whether a configuration is active, and slots are granted in this zone or the zone has no backend
    /// servers.
    #[must_use]
    pub fn is_ready(&self, now: time::TimeMs) -> bool {
        self.directory.version > ids::ConfigVersion::default() && self.servers.can_serve(now)
    }

    /// Returns the state of the slots of each backend server, for operators.
    pub fn slots(&self, now: time::TimeMs) -> impl Iterator<Item = exchange::ServerStatus<'_>> {
        self.servers.slots(now)
    }

    /// Returns how often this instance refused to grant slots of the backend servers that it owns, by reason.
    #[must_use]
    pub fn slot_refusals(&self) -> BTreeMap<&'static str, u64> {
        self.servers.slot_refusals()
    }

    /// Returns for how long this instance was to grant slots and granted none, in milliseconds summed over the
    /// backend servers, by reason.
    #[must_use]
    pub const fn slots_blocked_ms(&self) -> &BTreeMap<exchange::BlockedBy, u64> {
        self.servers.slots_blocked_ms()
    }

    /// Returns the number of idempotency keys in the key table.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// Handles an event at the given time and returns the actions, in the order of their execution.
    #[must_use]
    pub fn handle(&mut self, now: time::TimeMs, event: Event) -> Vec<Action> {
        self.pause_detector.record_call(now);
        match event {
            Event::Submit { number, request } => {
                self.submit(now, pending::Origin::Client(number), *request, 0);
            }
            Event::ClientDisconnected { number } => self.handle_client_disconnect(now, number),
            Event::ExchangeEnded { exchange, end } => self.handle_exchange_end(now, exchange, end),
            Event::Peer { from, message } => self.handle_peer_message(now, &from, *message),
            Event::Directory(directory) => {
                self.apply_directory(now, directory);
                self.fail_unreachable_forwards(now);
            }
            Event::Roster(roster) => self.servers.apply_roster(now, *roster),
            Event::HealthReported {
                backend_server,
                healthy,
            } => self
                .servers
                .record_health_report(now, &backend_server, healthy),
            Event::ClearQuarantine(fingerprint) => self.clear_by_operator(now, fingerprint),
            Event::Leave => self.leave(now),
            Event::Tick => {
                self.expire(now);
                self.renew_keys();
                self.advance_shutdown(now);
            }
        }
        self.launch_waiting(now);
        core::mem::take(&mut self.actions)
    }

    fn handle_peer_message(
        &mut self,
        now: time::TimeMs,
        from: &home::Home,
        message: peer::PeerMessage,
    ) {
        match message {
            peer::PeerMessage::Forward(forward) => self.handle_forward(now, from, forward),
            peer::PeerMessage::ForwardResponse(response) => {
                self.handle_forward_response(now, from, response);
            }
            peer::PeerMessage::Handover(part) => self.handle_handover(now, from, *part),
            peer::PeerMessage::HandoverAck(ack) => self.handle_handover_ack(from, ack),
            peer::PeerMessage::Amendment(record) => self.handle_amendment(now, *record),
            peer::PeerMessage::Incident(incident) => self.handle_incident(now, &incident),
            peer::PeerMessage::Cleared(fingerprint) => self.handle_cleared(now, fingerprint),
            peer::PeerMessage::Slots(message) => self.servers.handle_message(now, from, *message),
            peer::PeerMessage::Renewed(home) => self.handle_renewal(from, home),
            peer::PeerMessage::Departed(departed) => {
                self.keys
                    .record_successor(now, departed.departed, departed.successor);
            }
        }
    }

    fn apply_directory(&mut self, now: time::TimeMs, directory: Arc<directory::Directory>) {
        self.servers.apply_directory(now, &directory);
        let before = core::mem::replace(&mut self.directory, directory);
        self.update_new_instances(&before);
        for (id, service) in &self.directory.services {
            self.retries.entry(id.clone()).or_insert_with(|| {
                retry::RetryPolicy::new(retry::RetrySettings {
                    share_permille: service.retry_budget.get(),
                    ..self.settings.retries.clone()
                })
            });
        }
    }

    fn forward_slot_actions(&mut self) {
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

    /// Reports a broken invariant; the caller does not carry out the unsafe operation. In debug builds the call
    /// panics, so that the events that led to the fault can be analysed.
    fn report_broken_invariant(&mut self, invariant: &'static str) {
        self.actions.push(Action::Broken { invariant });
        debug_assert!(false, "invariant broken: {invariant}");
    }
}
