//! The engine's thread: turns messages of its inbox into engine events and carries out the engine's
//! actions.
//!
//! The engine decides which backend server runs each request, and when.
//!
//! ```
//! use damaskvane_entry::engine_thread;
//!
//! assert!(engine_thread::TICK.as_millis() > 0);
//! ```

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;

use damaskvane_core::time;
use damaskvane_dispatch::home;
use damaskvane_engine::{engine, event};
use serde_json::json;
use slog::{error, warn};

use crate::exchange_pool;
use crate::inbox;
use crate::operator_api::status;
use crate::peers;
use crate::serving;
use crate::slot_watch;

/// Time between two tick events to the engine while requests or exchanges are in progress.
pub const TICK: Duration = Duration::from_millis(10);

/// Time between two tick events to the engine while no request or exchange is in progress. Only the leases
/// and heartbeats of slots need the ticks then; a slot is the right to run one request on a backend server.
const IDLE_TICK: Duration = Duration::from_millis(50);

const LOAD_PERIOD: time::SpanMs = time::SpanMs::new(1_000);

/// State of the engine's thread, which [`EngineThread::run`] runs.
pub struct EngineThread {
    engine: engine::Engine,
    serving: Arc<serving::Serving>,
    inbox: flume::Receiver<inbox::Input>,
    exchanges: exchange_pool::ExchangePool,
    peers: Arc<peers::Peers>,
    status: status::Source,
    replies: HashMap<event::RequestNumber, inbox::Reply>,
    slot_watch: slot_watch::SlotWatch,
    logger: slog::Logger,
}

impl EngineThread {
    /// Creates the state of the thread; the caller starts the thread with [`Self::run`].
    #[must_use]
    pub fn new(
        me: home::Home,
        serving: Arc<serving::Serving>,
        inbox: flume::Receiver<inbox::Input>,
        exchanges: exchange_pool::ExchangePool,
        peers: Arc<peers::Peers>,
        status: status::Source,
        logger: slog::Logger,
    ) -> Self {
        Self {
            engine: engine::Engine::new(me, engine::EngineSettings::default()),
            serving,
            inbox,
            exchanges,
            peers,
            status,
            replies: HashMap::new(),
            slot_watch: slot_watch::SlotWatch::default(),
            logger,
        }
    }

    /// Runs until [`inbox::Input::Stop`] arrives or every sender of the inbox is dropped.
    pub fn run(mut self) {
        let mut next_tick = self.serving.clock.now();
        let mut next_load = next_tick;
        loop {
            let tick_period = self.tick_period();
            let event = match self.inbox.recv_timeout(tick_period) {
                Ok(inbox::Input::Stop) | Err(flume::RecvTimeoutError::Disconnected) => return,
                Ok(input) => Some(self.input_event(input)),
                Err(flume::RecvTimeoutError::Timeout) => None,
            };
            if let Some(event) = event {
                self.handle(event);
            }
            let now = self.serving.clock.now();
            if now >= next_load {
                next_load = now + LOAD_PERIOD;
                self.serving
                    .meter
                    .set_engine_load(self.engine.take_load(now));
                self.publish(now);
            }
            if now >= next_tick {
                next_tick = now + time::SpanMs::new(tick_period.as_millis() as u64);
                self.handle(event::Event::Tick);
            }
            if self.slot_watch.is_due(now) {
                self.slot_watch
                    .log_changes(now, self.engine.slots(now), &self.logger);
            }
        }
    }

    fn tick_period(&self) -> Duration {
        if self.engine.is_idle() {
            IDLE_TICK
        } else {
            TICK
        }
    }

    fn publish(&mut self, now: time::TimeMs) {
        let blocked_ms = self.engine.slots_blocked_ms();
        self.slot_watch.count(blocked_ms, &self.serving.counters);
        let quarantined: Vec<_> = self
            .engine
            .quarantined(now)
            .into_iter()
            .map(|entry| {
                json!({
                    "fingerprint": entry.fingerprint,
                    "incidents": entry.incidents,
                    "refused": entry.is_refused,
                    "time_left_ms": entry.time_left,
                })
            })
            .collect();
        self.status.publish("quarantine", json!(quarantined));
        self.status.publish(
            "requests",
            json!({
                "running": self.engine.running(),
                "waiting": self.engine.waiting(),
                "keys": self.engine.keys(),
            }),
        );
        let draining: Vec<_> = self
            .engine
            .draining()
            .map(|server| {
                json!({
                    "backend_server": server.backend_server,
                    "phase": server.phase,
                    "for_ms": now.since(server.since),
                    "running": server.running,
                })
            })
            .collect();
        self.status.publish("draining", json!(draining));
        let slots: Vec<_> = self
            .engine
            .slots(now)
            .map(|server| slot_watch::to_json(now, &server))
            .collect();
        self.status.publish("slots", json!(slots));
        self.status
            .publish("slot_refusals", json!(self.engine.slot_refusals()));
        self.status
            .publish("stop", json!(self.engine.shutdown_progress(now)));
    }

    fn input_event(&mut self, input: inbox::Input) -> event::Event {
        match input {
            inbox::Input::Submit {
                number,
                request,
                reply,
            } => {
                self.replies.insert(number, reply);
                event::Event::Submit { number, request }
            }
            inbox::Input::Event(event) => {
                if let event::Event::ClientDisconnected { number } = &event {
                    self.replies.remove(number);
                }
                event
            }
            inbox::Input::Stop => event::Event::Tick,
        }
    }

    fn handle(&mut self, event: event::Event) {
        let now = self.serving.clock.now();
        for action in self.engine.handle(now, event) {
            self.apply_action(action);
        }
        self.serving.set_ready(self.engine.is_ready(now));
        self.serving.set_busy(!self.engine.is_idle());
        if self.engine.is_drained(now) {
            self.serving.set_drained();
        }
    }

    fn apply_action(&mut self, action: event::Action) {
        match action {
            event::Action::Respond { number, outcome } => {
                if let Some(reply) = self.replies.remove(&number) {
                    let _ = reply.send(outcome);
                }
            }
            event::Action::Start(exchange) => self.exchanges.start(exchange),
            event::Action::Cancel {
                address,
                request_id,
            } => self.exchanges.cancel(address, request_id),
            event::Action::Send { to, message } => {
                if !self.peers.send_engine(&to, *message) {
                    warn!(self.logger, "message to a peer was not sent"; "peer" => %to);
                }
            }
            event::Action::HomeRenewed { home } => {
                warn!(self.logger, "an instance accepts idempotency keys under a new incarnation"; "peer" => %home);
                self.serving.homes.record(home);
            }
            event::Action::CountRefusal(reason) => {
                self.serving.counters.increment("refused", reason.as_str());
            }
            event::Action::CountRetry(reason) => {
                self.serving.counters.increment("retried", reason.as_str());
            }
            event::Action::Count { family, label } => {
                self.serving.counters.increment(family, label);
            }
            event::Action::Broken { invariant } => {
                self.serving
                    .counters
                    .increment("invariant_broken", invariant);
                error!(self.logger, "invariant broken; action refused"; "reason" => invariant);
            }
        }
    }
}
