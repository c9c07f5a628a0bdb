//! One randomised run.
//!
//! ```
//! use damaskvane_dispatch::model;
//!
//! let mut run = model::Run::new(1, model::ModelSettings::default());
//! run.steps(10);
//! assert_eq!(run.report().steps, 10);
//! ```

use std::collections;

use damaskvane_core::{ids, time};
use rand::{RngExt, SeedableRng};

use crate::model::{checker, event, exchanges, instance, report, settings};
use crate::{exchange, fingerprint, home, outcome, refusal, retry};

pub(super) const REQUEST_TIMEOUT_MS: u64 = 1_000;
pub(super) const TICK_MS: u64 = 100;
/// The maximum number of forwards of an attempt: to the home, to its successor and to the successor's
/// successor.
const MAX_HOPS: u32 = 3;
const MAX_VIOLATIONS: usize = 20;

#[derive(Debug)]
struct Client {
    home: home::Home,
    tries: u32,
    is_numbered: bool,
    is_done: bool,
}

/// The state of a run.
#[derive(Debug)]
pub struct Run {
    pub(super) settings: settings::ModelSettings,
    pub(super) rng: rand_pcg::Pcg64Mcg,
    pub(super) now: time::TimeMs,
    events: collections::BTreeMap<(time::TimeMs, u64), event::Event>,
    next_event: u64,
    pub(super) instances: Vec<instance::Instance>,
    clients: collections::BTreeMap<u64, Client>,
    next_client: u64,
    pub(super) backend_exchanges: collections::BTreeMap<u64, exchanges::BackendExchange>,
    pub(super) next_exchange_id: u64,
    pub(super) retries: retry::RetryPolicy,
    pub(super) checker: checker::Checker,
    pub(super) report: report::Report,
}

impl Run {
    /// Creates a run, which is determined by its seed and settings.
    ///
    /// # Panics
    ///
    /// Never panics, because the names of the model are valid identifiers.
    #[must_use]
    pub fn new(seed: u64, settings: settings::ModelSettings) -> Self {
        let instances = (0..settings.instances)
            .map(|index| {
                let home = home::Home::new(instance_id(index), ids::Incarnation::new(1));
                instance::Instance::new(home, settings.home.clone())
            })
            .collect();
        let mut run = Self {
            settings,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            now: time::TimeMs::ZERO,
            events: collections::BTreeMap::new(),
            next_event: 0,
            instances,
            clients: collections::BTreeMap::new(),
            next_client: 0,
            backend_exchanges: collections::BTreeMap::new(),
            next_exchange_id: 0,
            retries: retry::RetryPolicy::new(retry::RetrySettings::default()),
            checker: checker::Checker::default(),
            report: report::Report::default(),
        };
        run.schedule(TICK_MS, event::Event::Tick);
        run.schedule(TICK_MS, event::Event::Fault);
        for _ in 0..run.settings.clients {
            run.begin_request();
        }
        run
    }

    /// Handles `steps` events, or fewer if too many guarantees are violated.
    pub fn steps(&mut self, steps: u64) {
        for _ in 0..steps {
            let Some(((at, _), event)) = self.events.pop_first() else {
                return;
            };
            self.now = at;
            self.report.steps += 1;
            self.handle(event);
            if self.checker.violations.len() > MAX_VIOLATIONS {
                return;
            }
        }
    }

    /// Returns the report of the run so far.
    #[must_use]
    pub fn report(&self) -> report::Report {
        let broken = self
            .instances
            .iter()
            .map(|instance| instance.table.broken_invariants());
        let mut violations = self.checker.violations.clone();
        if broken.sum::<u64>() > 0 {
            violations.push("a table refused an unsafe action".to_owned());
        }
        report::Report {
            runs: self.checker.runs(),
            violations,
            ..self.report.clone()
        }
    }

    pub(super) fn schedule(&mut self, delay_ms: u64, event: event::Event) {
        let at = self.now + time::SpanMs::new(delay_ms);
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    /// Schedules a message, which may be delayed, reordered or lost.
    pub(super) fn transmit(&mut self, event: event::Event) {
        if self.is_chosen(self.settings.lost_permille) {
            return;
        }
        let slow = self.is_chosen(20);
        let delay_ms = self.rng.random_range(1..if slow { 12_000 } else { 40 });
        self.schedule(delay_ms, event);
    }

    pub(super) fn is_chosen(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    pub(super) fn any_instance(&mut self) -> usize {
        self.rng.random_range(0..self.instances.len())
    }

    fn begin_request(&mut self) {
        let client = self.next_client;
        self.next_client += 1;
        self.report.requests += 1;
        let at = self.any_instance();
        let home = self.instances[at].table.home().clone();
        let is_numbered = !self.is_chosen(100);
        let state = Client {
            home,
            tries: 0,
            is_numbered,
            is_done: false,
        };
        self.clients.insert(client, state);
        let delay_ms = self.rng.random_range(1..500);
        self.schedule(delay_ms, event::Event::Send { client, after: 0 });
    }

    fn handle(&mut self, event: event::Event) {
        match event {
            event::Event::Send { client, after } => self.send(client, after),
            event::Event::Arrive {
                at,
                client_try,
                hops,
            } => self.arrive(at, client_try, hops),
            event::Event::Run { id } => self.run_at_backend(id),
            event::Event::ExchangeEnd { id, failure } => self.handle_exchange_end(id, failure),
            event::Event::ReceiveAnswer {
                client,
                number,
                outcome,
            } => self.receive_answer(client, number, &outcome),
            event::Event::HandoverPart { to, part } => self.receive_handover_part(&to, *part),
            event::Event::Amendment { to, record } => self.receive_amendment(&to, *record),
            event::Event::LearnSuccessor {
                at,
                departed,
                successor,
            } => {
                let table = &mut self.instances[at].table;
                table.record_successor(self.now, departed, successor);
            }
            event::Event::Restart { at } => self.kill(at),
            event::Event::Fault => self.fault(),
            event::Event::Tick => self.tick(),
        }
    }

    fn send(&mut self, client: u64, after: u32) {
        let has_other_body = self.is_chosen(10);
        let at = self.any_instance();
        let max_tries = self.settings.max_tries;
        let Some(state) = self.clients.get_mut(&client) else {
            return;
        };
        if state.is_done || state.tries != after {
            return;
        }
        if state.tries == max_tries {
            state.is_done = true;
            self.begin_request();
            return;
        }
        state.tries += 1;
        let number = state.tries;
        let client_try = event::ClientTry {
            client,
            number: if state.is_numbered {
                number
            } else {
                home::Attempt::UNNUMBERED
            },
            has_other_body,
        };
        self.transmit(event::Event::Arrive {
            at,
            client_try,
            hops: 0,
        });
        // The client times out and sends its next attempt while the last one may still be in progress.
        let timeout_ms = self.rng.random_range(20..1_500);
        let next = event::Event::Send {
            client,
            after: number,
        };
        self.schedule(timeout_ms, next);
    }

    fn receive_answer(&mut self, client: u64, number: u32, outcome: &outcome::Outcome<u64>) {
        let Some(state) = self.clients.get_mut(&client) else {
            return;
        };
        let is_final = matches!(outcome, outcome::Outcome::Completed(_)) && !state.is_done;
        if is_final {
            state.is_done = true;
            self.begin_request();
        } else if number == state.tries {
            let after = state.tries;
            let delay_ms = self.rng.random_range(1..300);
            self.schedule(delay_ms, event::Event::Send { client, after });
        }
    }

    fn arrive(&mut self, at: usize, client_try: event::ClientTry, hops: u32) {
        if let Some(delay_ms) = self.remaining_pause_ms(at) {
            self.schedule(
                delay_ms,
                event::Event::Arrive {
                    at,
                    client_try,
                    hops,
                },
            );
            return;
        }
        let attempt = self.attempt(client_try);
        let now = self.now;
        match self.instances[at].table.begin(now, &attempt) {
            home::BeginDecision::Dispatch(permit) => self.dispatch(at, client_try, permit),
            home::BeginDecision::Join(waiter) => {
                self.instances[at].waiters.insert(waiter, client_try);
            }
            home::BeginDecision::Answer(outcome) => self.answer(client_try, outcome),
            home::BeginDecision::Forward(home) => self.forward(at, client_try, &home, hops),
        }
    }

    fn attempt(&self, client_try: event::ClientTry) -> home::Attempt {
        let body: &[u8] = if client_try.has_other_body {
            b"other"
        } else {
            b"own"
        };
        home::Attempt {
            key: name(format!("key-{}", client_try.client)),
            home: self.clients[&client_try.client].home.clone(),
            fingerprint: fingerprint::Fingerprint::of(&name("desk".into()), "POST", "/", body),
            try_number: client_try.number,
            time_left: time::SpanMs::new(REQUEST_TIMEOUT_MS),
        }
    }

    fn forward(&mut self, from: usize, client_try: event::ClientTry, home: &home::Home, hops: u32) {
        let to = self.index_of(home);
        let request = request_of(client_try);
        let forwarded = exchange::Forwarded::new(request);
        if hops >= MAX_HOPS || to == from {
            let (_, outcome) = forwarded.unreachable().into_parts();
            self.answer(client_try, outcome);
            return;
        }
        self.transmit(event::Event::Arrive {
            at: to,
            client_try,
            hops: hops + 1,
        });
    }

    pub(super) fn finish(
        &mut self,
        at: usize,
        client_try: event::ClientTry,
        answered: exchange::Answered<u64>,
    ) {
        let (permit, outcome) = answered.into_parts();
        let Some(permit) = permit else {
            return;
        };
        let finish = self.instances[at].table.finish(self.now, permit, outcome);
        self.answer(client_try, finish.outcome.clone());
        self.answer_waiters(at, finish);
        self.send_amendments(at);
    }

    pub(super) fn answer_waiters(&mut self, at: usize, finish: home::FinishedKey<u64>) {
        for waiter in finish.waiters {
            if let Some(client_try) = self.instances[at].waiters.remove(&waiter) {
                self.answer(client_try, finish.outcome.clone());
            }
        }
    }

    pub(super) fn answer(&mut self, client_try: event::ClientTry, outcome: outcome::Outcome<u64>) {
        self.checker.record_answer(client_try, &outcome);
        let reason = outcome.reason().map_or("", refusal::RefusalReason::as_str);
        let label = format!("{} {reason}", outcome.as_str());
        *self.report.answers.entry(label).or_default() += 1;
        self.transmit(event::Event::ReceiveAnswer {
            client: client_try.client,
            number: client_try.number,
            outcome,
        });
    }

    fn receive_handover_part(&mut self, to: &home::Home, part: home::HandoverPart<u64>) {
        let at = self.index_of(to);
        // A refused part is lost, so that the keys of the departed home are unknown from then on.
        let _ = self.instances[at].table.accept_handover(self.now, part);
    }

    fn receive_amendment(&mut self, to: &home::Home, record: home::HandoverRecord<u64>) {
        let at = self.index_of(to);
        let finish = self.instances[at].table.accept_amendment(self.now, record);
        if let Some(finish) = finish {
            self.answer_waiters(at, finish);
            self.send_amendments(at);
        }
    }

    fn send_amendments(&mut self, at: usize) {
        let Some(successor) = self.instances[at].successor.clone() else {
            return;
        };
        for record in self.instances[at].table.take_amendments() {
            let copies = if self.is_chosen(100) { 2 } else { 1 };
            for _ in 0..copies {
                let to = successor.clone();
                let record = Box::new(record.clone());
                self.transmit(event::Event::Amendment { to, record });
            }
        }
    }

    pub(super) fn remaining_pause_ms(&mut self, at: usize) -> Option<u64> {
        let remaining = self.instances[at].paused_until.since(self.now);
        // A random delay makes the instance read the messages of the pause in any order.
        (remaining > time::SpanMs::ZERO).then(|| remaining.get() + self.rng.random_range(0..50))
    }

    fn index_of(&self, home: &home::Home) -> usize {
        let is_same_instance =
            |instance: &instance::Instance| instance.table.home().instance == home.instance;
        self.instances
            .iter()
            .position(is_same_instance)
            .unwrap_or(0)
    }
}

fn instance_id(index: usize) -> ids::InstanceId {
    name(format!("entry-{index}"))
}

pub(super) fn request_of(client_try: event::ClientTry) -> ids::RequestId {
    name(format!("try-{}-{}", client_try.client, client_try.number))
}

/// Converts a name of the model, which has only letters, digits and dashes, to an identifier.
pub(super) fn name<T: TryFrom<String, Error = ids::ParseIdError>>(text: String) -> T {
    T::try_from(text).expect("a valid name")
}
