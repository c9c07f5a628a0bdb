//! Two entry instances, their keys, the messages between them and what backend servers ran.

use std::collections;

use damaskvane_dispatch::{home, outcome, refusal};

use super::keys::{Table, at, attempt, home_of, not_run, table};

const KEYS: [&str; 2] = ["k", "l"];
const HOMES: [&str; 2] = ["a/1", "b/1"];
const TRIES: u32 = 3;
const PAST_THE_WINDOW_MS: u64 = 700_000;
/// How often a message of a handover may arrive.
const ARRIVALS: u8 = 2;

/// Which rare events may happen, each once.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bounds {
    pub restart: bool,
    pub handover: bool,
    pub wait: bool,
    /// How many keys there are, at most two.
    pub keys: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The next try, of a key, reaches an entry instance.
    Try {
        key: usize,
        entry: usize,
    },
    Deliver(usize),
    /// The backend server runs what was sent to it.
    Run(usize),
    Answer(usize),
    /// The answer is lost on its way to the entry instance.
    Lose(usize),
    Refuse(usize),
    Restart,
    HandOver,
    Wait,
}

#[derive(Debug)]
struct Flight {
    entry: usize,
    key: usize,
    number: u32,
    permit: Option<home::DispatchPermit>,
    is_over: bool,
}

#[derive(Debug)]
enum Message {
    Try {
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
    next_try: u32,
    tables: [Table; 2],
    flights: Vec<Flight>,
    network: Vec<(Message, u8)>,
    waiters: collections::BTreeMap<(usize, home::WaiterId), (usize, u32)>,
    /// For each key, the tries that ran.
    runs: [Vec<u32>; 2],
    /// For each key, the highest try that was answered with *not run*.
    not_run_through: [u32; 2],
    violation: Option<String>,
}

impl World {
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            now_ms: 0,
            next_try: 1,
            tables: HOMES.map(table),
            flights: Vec::new(),
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
        if self.next_try <= TRIES {
            // The two keys are alike until one is taken.
            let keys = if self.next_try == 1 {
                1
            } else {
                self.bounds.keys
            };
            for key in 0..keys {
                actions.extend((0..HOMES.len()).map(|entry| Action::Try { key, entry }));
            }
        }
        let arriving = |(index, (_, left)): (usize, &(Message, u8))| {
            (*left > 0).then_some(Action::Deliver(index))
        };
        actions.extend(self.network.iter().enumerate().filter_map(arriving));
        for (index, flight) in self.flights.iter().enumerate() {
            if flight.is_over {
                continue;
            }
            let ran = self.runs[flight.key].contains(&flight.number);
            if !ran {
                actions.push(Action::Run(index));
            }
            if flight.permit.is_some() {
                actions.push(Action::Lose(index));
                actions.push(if ran {
                    Action::Answer(index)
                } else {
                    Action::Refuse(index)
                });
            }
        }
        let rare = [
            (self.bounds.restart, Action::Restart),
            (self.bounds.handover, Action::HandOver),
            (self.bounds.wait, Action::Wait),
        ];
        actions.extend(
            rare.into_iter()
                .filter(|(may, _)| *may)
                .map(|(_, action)| action),
        );
        actions
    }

    pub fn apply(&mut self, action: Action) {
        self.step(action);
        // What can't act any more must not keep two states apart.
        self.network.retain(|(_, left)| *left > 0);
        let runs = &self.runs;
        self.flights.retain(|flight| {
            let ran = runs[flight.key].contains(&flight.number);
            !flight.is_over && (flight.permit.is_some() || !ran)
        });
    }

    fn step(&mut self, action: Action) {
        match action {
            Action::Try { key, entry } => {
                let number = self.next_try;
                self.next_try += 1;
                self.begin(entry, key, number);
            }
            Action::Deliver(index) => self.deliver(index),
            Action::Run(index) => self.run(index),
            Action::Answer(index) => {
                let answer = u64::from(self.flights[index].number);
                self.flights[index].is_over = true;
                self.finish(index, |permit| {
                    (permit, outcome::Outcome::Completed(answer))
                });
            }
            Action::Lose(index) => {
                let lost = outcome::Outcome::unknown(refusal::RefusalReason::OutcomeLost);
                self.finish(index, |permit| (permit, lost));
            }
            Action::Refuse(index) => {
                self.flights[index].is_over = true;
                self.finish(index, not_run);
            }
            Action::Restart => {
                self.bounds.restart = false;
                self.tables[0] = table("a/2");
                self.waiters.retain(|(entry, _), _| *entry != 0);
                for flight in self.flights.iter_mut().filter(|flight| flight.entry == 0) {
                    flight.permit = None;
                }
            }
            Action::HandOver => self.hand_over(),
            Action::Wait => {
                self.bounds.wait = false;
                self.now_ms += PAST_THE_WINDOW_MS;
                for entry in 0..HOMES.len() {
                    // The first pass gives running keys up, the second drops their outcome.
                    for _ in 0..2 {
                        let finished = self.tables[entry].expire(at(self.now_ms));
                        for finish in finished {
                            self.answer_waiters(entry, finish);
                        }
                        self.now_ms += PAST_THE_WINDOW_MS;
                    }
                }
            }
        }
    }

    fn begin(&mut self, entry: usize, key: usize, number: u32) {
        let attempt = attempt(KEYS[key], HOMES[0], number);
        match self.tables[entry].begin(at(self.now_ms), &attempt) {
            home::BeginDecision::Dispatch(permit) => self.flights.push(Flight {
                entry,
                key,
                number,
                permit: Some(permit),
                is_over: false,
            }),
            home::BeginDecision::Join(waiter) => {
                self.waiters.insert((entry, waiter), (key, number));
            }
            home::BeginDecision::Answer(outcome) => self.check_answer(key, number, &outcome),
            home::BeginDecision::Forward(home) => {
                let entry = usize::from(home.instance == home_of(HOMES[1]).instance);
                let message = Message::Try { entry, key, number };
                self.network.push((message, 1));
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        self.network[index].1 -= 1;
        match &self.network[index].0 {
            Message::Try { entry, key, number } => {
                let (entry, key, number) = (*entry, *key, *number);
                self.begin(entry, key, number);
            }
            Message::Part(part) => {
                let part = part.as_ref().clone();
                self.tables[1]
                    .accept_handover(at(self.now_ms), part)
                    .expect("room");
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
        for part in parts.expect("a handover") {
            let message = Message::Part(Box::new(part.clone()));
            self.network.push((message, ARRIVALS));
        }
    }

    fn run(&mut self, index: usize) {
        let (key, number) = (self.flights[index].key, self.flights[index].number);
        self.runs[key].push(number);
        if self.runs[key].len() > 1 {
            self.violation = Some(format!("{} ran twice", KEYS[key]));
        }
        if number <= self.not_run_through[key] {
            self.violation = Some(format!("{} ran after not run", KEYS[key]));
        }
    }

    fn finish(
        &mut self,
        index: usize,
        outcome: impl FnOnce(home::DispatchPermit) -> (home::DispatchPermit, outcome::Outcome<u64>),
    ) {
        let flight = &mut self.flights[index];
        let (entry, key, number) = (flight.entry, flight.key, flight.number);
        let Some(permit) = flight.permit.take() else {
            return;
        };
        let (permit, outcome) = outcome(permit);
        let finish = self.tables[entry].finish(at(self.now_ms), permit, outcome);
        self.check_answer(key, number, &finish.outcome);
        self.answer_waiters(entry, finish);
        for amendment in self.tables[entry].take_amendments() {
            let message = Message::Amendment(Box::new(amendment));
            self.network.push((message, ARRIVALS));
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
        let is_true = match outcome {
            outcome::Outcome::Completed(run) => {
                runs.iter().any(|number| u64::from(*number) == *run)
            }
            outcome::Outcome::NotRun(_) => runs.is_empty(),
            outcome::Outcome::Unknown(_) => true,
        };
        if !is_true {
            self.violation = Some(format!("untrue answer to try {number}: {outcome:?}"));
        }
        if let outcome::Outcome::NotRun(_) = outcome {
            self.not_run_through[key] = self.not_run_through[key].max(number);
        }
    }
}
