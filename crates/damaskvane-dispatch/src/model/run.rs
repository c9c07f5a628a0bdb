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

pub(super) const TIME_LEFT_MS: u64 = 1_000;
pub(super) const TICK_MS: u64 = 100;
/// A forwarded try goes on to the successor at most, and to that one's successor.
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
    pub(super) flights: collections::BTreeMap<u64, exchanges::Flight>,
    pub(super) next_flight: u64,
    pub(super) retries: retry::RetryPolicy,
    pub(super) checker: checker::Checker,
    pub(super) report: report::Report,
}

impl Run {
    /// A run that is determined by its seed and settings.
    ///
    /// # Panics
    ///
    /// Never: the names it makes are valid identifiers.
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
            flights: collections::BTreeMap::new(),
            next_flight: 0,
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

    /// Handles so many events, or fewer if promises were broken.
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

    /// What happened so far.
    #[must_use]
    pub fn report(&self) -> report::Report {
        let broken = self.instances.iter().map(|at| at.table.broken_invariants());
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

    pub(super) fn schedule(&mut self, in_ms: u64, event: event::Event) {
        let at = self.now + time::SpanMs::new(in_ms);
        self.events.insert((at, self.next_event), event);
        self.next_event += 1;
    }

    /// Schedules a message, which may be late, crossed by others, or lost.
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
        let in_ms = self.rng.random_range(1..500);
        self.schedule(in_ms, event::Event::Send { client, after: 0 });
    }

    fn handle(&mut self, event: event::Event) {
        match event {
            event::Event::Send { client, after } => self.send(client, after),
            event::Event::Arrive { at, trial, hops } => self.arrive(at, trial, hops),
            event::Event::Run { flight } => self.run_at_backend(flight),
            event::Event::Back { flight, failure } => self.back(flight, failure),
            event::Event::Hear {
                client,
                number,
                outcome,
            } => self.hear(client, number, &outcome),
            event::Event::Part { to, part } => self.receive_part(&to, *part),
            event::Event::Amendment { to, record } => self.receive_amendment(&to, *record),
            event::Event::Learn {
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
        let trial = event::Try {
            client,
            number: if state.is_numbered {
                number
            } else {
                home::Attempt::UNNUMBERED
            },
            has_other_body,
        };
        self.transmit(event::Event::Arrive { at, trial, hops: 0 });
        // An impatient client tries again while the last try is still under way.
        let patience_ms = self.rng.random_range(20..1_500);
        let next = event::Event::Send {
            client,
            after: number,
        };
        self.schedule(patience_ms, next);
    }

    fn hear(&mut self, client: u64, number: u32, outcome: &outcome::Outcome<u64>) {
        let Some(state) = self.clients.get_mut(&client) else {
            return;
        };
        let is_final = matches!(outcome, outcome::Outcome::Completed(_)) && !state.is_done;
        if is_final {
            state.is_done = true;
            self.begin_request();
        } else if number == state.tries {
            let after = state.tries;
            let in_ms = self.rng.random_range(1..300);
            self.schedule(in_ms, event::Event::Send { client, after });
        }
    }

    fn arrive(&mut self, at: usize, trial: event::Try, hops: u32) {
        if let Some(in_ms) = self.pause_left(at) {
            self.schedule(in_ms, event::Event::Arrive { at, trial, hops });
            return;
        }
        let attempt = self.attempt(trial);
        let now = self.now;
        match self.instances[at].table.begin(now, &attempt) {
            home::BeginDecision::Dispatch(permit) => self.dispatch(at, trial, permit),
            home::BeginDecision::Join(waiter) => {
                self.instances[at].waiters.insert(waiter, trial);
            }
            home::BeginDecision::Answer(outcome) => self.answer(trial, outcome),
            home::BeginDecision::Forward(home) => self.forward(at, trial, &home, hops),
        }
    }

    fn attempt(&self, trial: event::Try) -> home::Attempt {
        let body: &[u8] = if trial.has_other_body {
            b"other"
        } else {
            b"own"
        };
        home::Attempt {
            key: name(format!("key-{}", trial.client)),
            home: self.clients[&trial.client].home.clone(),
            fingerprint: fingerprint::Fingerprint::of(&name("desk".into()), "POST", "/", body),
            try_number: trial.number,
            time_left: time::SpanMs::new(TIME_LEFT_MS),
        }
    }

    fn forward(&mut self, from: usize, trial: event::Try, home: &home::Home, hops: u32) {
        let to = self.index_of(home);
        let request = request_of(trial);
        let forwarded = exchange::Forwarded::new(request);
        if hops >= MAX_HOPS || to == from {
            let (_, outcome) = forwarded.unreachable().into_parts();
            self.answer(trial, outcome);
            return;
        }
        self.transmit(event::Event::Arrive {
            at: to,
            trial,
            hops: hops + 1,
        });
    }

    pub(super) fn finish(
        &mut self,
        at: usize,
        trial: event::Try,
        answered: exchange::Answered<u64>,
    ) {
        let (permit, outcome) = answered.into_parts();
        let Some(permit) = permit else {
            return;
        };
        let finish = self.instances[at].table.finish(self.now, permit, outcome);
        self.answer(trial, finish.outcome.clone());
        self.answer_waiters(at, finish);
        self.send_amendments(at);
    }

    pub(super) fn answer_waiters(&mut self, at: usize, finish: home::FinishedKey<u64>) {
        for waiter in finish.waiters {
            if let Some(trial) = self.instances[at].waiters.remove(&waiter) {
                self.answer(trial, finish.outcome.clone());
            }
        }
    }

    pub(super) fn answer(&mut self, trial: event::Try, outcome: outcome::Outcome<u64>) {
        self.checker.note_answer(trial, &outcome);
        let reason = outcome.reason().map_or("", refusal::RefusalReason::as_str);
        let word = format!("{} {reason}", outcome.as_str());
        *self.report.answers.entry(word).or_default() += 1;
        self.transmit(event::Event::Hear {
            client: trial.client,
            number: trial.number,
            outcome,
        });
    }

    fn receive_part(&mut self, to: &home::Home, part: home::HandoverPart<u64>) {
        let at = self.index_of(to);
        // Refused parts are lost: the keys of the departed home are unknown then.
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

    pub(super) fn pause_left(&mut self, at: usize) -> Option<u64> {
        let left = self.instances[at].paused_until.since(self.now);
        // What lay unread is read in any order.
        (left > time::SpanMs::ZERO).then(|| left.get() + self.rng.random_range(0..50))
    }

    fn index_of(&self, home: &home::Home) -> usize {
        let is_it = |at: &instance::Instance| at.table.home().instance == home.instance;
        self.instances.iter().position(is_it).unwrap_or(0)
    }
}

fn instance_id(index: usize) -> ids::InstanceId {
    name(format!("entry-{index}"))
}

pub(super) fn request_of(trial: event::Try) -> ids::RequestId {
    name(format!("try-{}-{}", trial.client, trial.number))
}

/// The model makes names out of letters, digits and dashes only.
pub(super) fn name<T: TryFrom<String, Error = ids::ParseIdError>>(text: String) -> T {
    T::try_from(text).expect("a valid name")
}
