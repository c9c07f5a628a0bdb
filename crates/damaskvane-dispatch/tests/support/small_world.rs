//! A model of two entry instances, their keys, the messages between them and the runs of backend servers.
//!
//! A key names one request of a client across its attempts.

use std::collections;

use damaskvane_dispatch::{home, outcome, refusal};

use super::keys::{Table, at, attempt, home_of, not_run, table};

const KEYS: [&str; 2] = ["k", "l"];
const HOMES: [&str; 2] = ["a/1", "b/1"];
const MAX_ATTEMPTS: u32 = 3;
const BEYOND_WINDOW_MS: u64 = 700_000;
/// Maximum number of times that the network delivers a message of a handover.
const MAX_DELIVERIES: u8 = 2;

/// Which rare events may happen, each at most once, and the number of keys.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bounds {
    pub restart: bool,
    pub handover: bool,
    pub wait: bool,
    /// The number of keys, at most two.
    pub keys: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The client's next attempt with a key reaches an entry instance.
    Attempt {
        key: usize,
        entry: usize,
    },
    /// The network delivers the message of this index.
    Deliver(usize),
    /// The backend server runs the dispatched attempt of this index.
    Run(usize),
    Respond(usize),
    /// The response of the backend server to the entry instance is lost.
    LoseResponse(usize),
    Refuse(usize),
    Restart,
    HandOver,
    Wait,
}

/// An attempt that an entry instance sent to a backend server.
#[derive(Debug)]
struct Dispatched {
    entry: usize,
    key: usize,
    number: u32,
    permit: Option<home::DispatchPermit>,
    is_done: bool,
}

#[derive(Debug)]
enum Message {
    Attempt {
        entry: usize,
        key: usize,
        number: u32,
    },
    Part(Box<home::HandoverPart<u64>>),
    Amendment(Box<home::HandoverRecord<u64>>),
}

#[derive(Debug)]
pub struct World {
    bounds: Bounds,
    now_ms: u64,
    next_attempt: u32,
    tables: [Table; 2],
    dispatches: Vec<Dispatched>,
    network: Vec<(Message, u8)>,
    waiters: collections::BTreeMap<(usize, home::WaiterId), (usize, u32)>,
    /// For each key, the numbers of the attempts that ran.
    runs: [Vec<u32>; 2],
    /// For each key, the highest number of an attempt that was answered with *not run*.
    not_run_through: [u32; 2],
    violation: Option<String>,
}

impl World {
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            now_ms: 0,
            next_attempt: 1,
            tables: HOMES.map(table),
            dispatches: Vec::new(),
            network: Vec::new(),
            waiters: collections::BTreeMap::new(),
            runs: [Vec::new(), Vec::new()],
            not_run_through: [0, 0],
            violation: None,
        }
    }

    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.next_attempt <= MAX_ATTEMPTS {
            // The two keys are interchangeable until the first attempt, so the first attempt uses only one of
            // them.
            let keys = if self.next_attempt == 1 {
                1
            } else {
                self.bounds.keys
            };
            for key in 0..keys {
                actions.extend((0..HOMES.len()).map(|entry| Action::Attempt { key, entry }));
            }
        }
        let deliveries = |(index, (_, left)): (usize, &(Message, u8))| {
            (*left > 0).then_some(Action::Deliver(index))
        };
        actions.extend(self.network.iter().enumerate().filter_map(deliveries));
        for (index, dispatched) in self.dispatches.iter().enumerate() {
            if dispatched.is_done {
                continue;
            }
            let ran = self.runs[dispatched.key].contains(&dispatched.number);
            if !ran {
                actions.push(Action::Run(index));
            }
            if dispatched.permit.is_some() {
                actions.push(Action::LoseResponse(index));
                actions.push(if ran {
                    Action::Respond(index)
                } else {
                    Action::Refuse(index)
                });
            }
        }
        let rare_events = [
            (self.bounds.restart, Action::Restart),
            (self.bounds.handover, Action::HandOver),
            (self.bounds.wait, Action::Wait),
        ];
        actions.extend(
            rare_events
                .into_iter()
                .filter(|(allowed, _)| *allowed)
                .map(|(_, action)| action),
        );
        actions
    }

    pub fn apply(&mut self, action: Action) {
        self.step(action);
        // Removes messages and dispatches without further effect, since they would make equal states differ.
        self.network.retain(|(_, left)| *left > 0);
        let runs = &self.runs;
        self.dispatches.retain(|dispatched| {
            let ran = runs[dispatched.key].contains(&dispatched.number);
            !dispatched.is_done && (dispatched.permit.is_some() || !ran)
        });
    }

    fn step(&mut self, action: Action) {
        match action {
            Action::Attempt { key, entry } => {
                let number = self.next_attempt;
                self.next_attempt += 1;
                self.begin(entry, key, number);
            }
            Action::Deliver(index) => self.deliver(index),
            Action::Run(index) => self.run(index),
            Action::Respond(index) => {
                let response = u64::from(self.dispatches[index].number);
                self.dispatches[index].is_done = true;
                self.finish(index, |permit| {
                    (permit, outcome::Outcome::Completed(response))
                });
            }
            Action::LoseResponse(index) => {
                let lost = outcome::Outcome::unknown(refusal::RefusalReason::OutcomeLost);
                self.finish(index, |permit| (permit, lost));
            }
            Action::Refuse(index) => {
                self.dispatches[index].is_done = true;
                self.finish(index, not_run);
            }
            Action::Restart => {
                self.bounds.restart = false;
                self.tables[0] = table("a/2");
                self.waiters.retain(|(entry, _), _| *entry != 0);
                for dispatched in self
                    .dispatches
                    .iter_mut()
                    .filter(|dispatched| dispatched.entry == 0)
                {
                    dispatched.permit = None;
                }
            }
            Action::HandOver => self.hand_over(),
            Action::Wait => {
                self.bounds.wait = false;
                self.now_ms += BEYOND_WINDOW_MS;
                for entry in 0..HOMES.len() {
                    // The first pass abandons the keys in progress, and the second pass removes the outcomes
                    // of these keys.
                    for _ in 0..2 {
                        let finished = self.tables[entry].expire(at(self.now_ms));
                        for finish in finished {
                            self.answer_waiters(entry, finish);
                        }
                        self.now_ms += BEYOND_WINDOW_MS;
                    }
                }
            }
        }
    }

    fn begin(&mut self, entry: usize, key: usize, number: u32) {
        let attempt = attempt(KEYS[key], HOMES[0], number);
        match self.tables[entry].begin(at(self.now_ms), &attempt) {
            home::BeginDecision::Dispatch(permit) => self.dispatches.push(Dispatched {
                entry,
                key,
                number,
                permit: Some(permit),
                is_done: false,
            }),
            home::BeginDecision::Join(waiter) => {
                self.waiters.insert((entry, waiter), (key, number));
            }
            home::BeginDecision::Answer(outcome) => self.check_answer(key, number, &outcome),
            home::BeginDecision::Forward(home) => {
                let entry = usize::from(home.instance == home_of(HOMES[1]).instance);
                let message = Message::Attempt { entry, key, number };
                self.network.push((message, 1));
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        self.network[index].1 -= 1;
        match &self.network[index].0 {
            Message::Attempt { entry, key, number } => {
                let (entry, key, number) = (*entry, *key, *number);
                self.begin(entry, key, number);
            }
            Message::Part(part) => {
                let part = part.as_ref().clone();
                self.tables[1]
                    .accept_handover(at(self.now_ms), part)
                    .expect("successor has capacity");
            }
            Message::Amendment(amendment) => {
                let amendment = amendment.as_ref().clone();
                let finish = self.tables[1].accept_amendment(at(self.now_ms), amendment);
                if let Some(finish) = finish {
                    self.answer_waiters(1, finish);
                }
            }
        }
    }

    fn hand_over(&mut self) {
        self.bounds.handover = false;
        let successor = home_of(HOMES[1]);
        let parts = self.tables[0].hand_over(at(self.now_ms), &successor);
        for part in parts.expect("handover is accepted") {
            let message = Message::Part(Box::new(part.clone()));
            self.network.push((message, MAX_DELIVERIES));
        }
    }

    fn run(&mut self, index: usize) {
        let (key, number) = (self.dispatches[index].key, self.dispatches[index].number);
        self.runs[key].push(number);
        if self.runs[key].len() > 1 {
            self.violation = Some(format!("{} ran twice", KEYS[key]));
        }
        if number <= self.not_run_through[key] {
            self.violation = Some(format!(
                "{} ran after it was answered with not run",
                KEYS[key]
            ));
        }
    }

    fn finish(
        &mut self,
        index: usize,
        outcome: impl FnOnce(home::DispatchPermit) -> (home::DispatchPermit, outcome::Outcome<u64>),
    ) {
        let dispatched = &mut self.dispatches[index];
        let (entry, key, number) = (dispatched.entry, dispatched.key, dispatched.number);
        let Some(permit) = dispatched.permit.take() else {
            return;
        };
        let (permit, outcome) = outcome(permit);
        let finish = self.tables[entry].finish(at(self.now_ms), permit, outcome);
        self.check_answer(key, number, &finish.outcome);
        self.answer_waiters(entry, finish);
        for amendment in self.tables[entry].take_amendments() {
            let message = Message::Amendment(Box::new(amendment));
            self.network.push((message, MAX_DELIVERIES));
        }
    }

    fn answer_waiters(&mut self, entry: usize, finish: home::FinishedKey<u64>) {
        for waiter in finish.waiters {
            if let Some((key, number)) = self.waiters.remove(&(entry, waiter)) {
                self.check_answer(key, number, &finish.outcome);
            }
        }
    }

    fn check_answer(&mut self, key: usize, number: u32, outcome: &outcome::Outcome<u64>) {
        let runs = &self.runs[key];
        let is_correct = match outcome {
            outcome::Outcome::Completed(run) => {
                runs.iter().any(|number| u64::from(*number) == *run)
            }
            outcome::Outcome::NotRun(_) => runs.is_empty(),
            outcome::Outcome::Unknown(_) => true,
        };
        if !is_correct {
            self.violation = Some(format!("wrong outcome of attempt {number}: {outcome:?}"));
        }
        if let outcome::Outcome::NotRun(_) = outcome {
            self.not_run_through[key] = self.not_run_through[key].max(number);
        }
    }
}
