//! The events of a history.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::placement::{Choice, PlacementRequest, RefusalReason};
use damaskvane_routing::pool::{
    ExchangeEnd, ExchangeId, LoadReport, RestStatement, RetryAfter, ServerEntry, ServerKey,
    ServerReport, StatementSource,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::instance::{Design, Instance, SharedTokens, server_index};
use super::outcome::{self, Outcome};
use super::server::{Reply, SLOTS, Server, Wish};
use crate::support::{at, configuration, entry, placer, pool, route, server_id, service_id};

const ZONES: [&str; 3] = ["east-a", "east-b", "west-a"];
/// Servers to which one request may be sent.
const ATTEMPTS: usize = 2;
/// Servers that a request without a token is offered to.
const MAX_OFFERS: usize = 6;
const OBJECTS: u64 = 120;

/// How large a world is, and how it decides.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    pub seed: u64,
    pub design: Design,
    pub instances: usize,
    pub servers: usize,
    pub calls_per_s: f64,
    /// Share of the messages between instances that are lost.
    pub lost: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 0,
            design: Design::Own,
            instances: 3,
            servers: 6,
            calls_per_s: 150.0,
            lost: 0.05,
        }
    }
}

/// What happens besides the calls.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// A server begins to reject, changes its wish, or ends it.
    Wish(usize, Option<Wish>),
    /// A server says from now on that it leaves.
    Leave(usize),
    /// An instance starts again.
    Restart(usize),
    /// The entry of a server lapses at an instance.
    Lapse(usize, usize),
    /// The entry of a server is read again at an instance.
    Read(usize, usize),
}

#[derive(Debug, Clone)]
enum Step {
    Event(Event),
    Call(usize),
    Arrive(Attempt),
    Answer(Attempt, ServerReport, ExchangeEnd),
    Tell(usize, ServerKey, SpanMs),
}

#[derive(Debug, Clone)]
struct Attempt {
    exchange: ExchangeId,
    by: usize,
    incarnation: u32,
    server: usize,
    object: u64,
    called_at: TimeMs,
    sent_at: TimeMs,
    tried: Vec<usize>,
}

pub struct World {
    settings: Settings,
    random: Pcg64Mcg,
    now: TimeMs,
    queue: BinaryHeap<Reverse<(TimeMs, u64)>>,
    steps: BTreeMap<u64, Step>,
    next: u64,
    pub instances: Vec<Instance>,
    pub servers: Vec<Server>,
    tokens: Vec<SharedTokens>,
    pub outcome: Outcome,
}

fn name(server: usize) -> String {
    format!("{}-{server}", ZONES[server % ZONES.len()])
}

fn server_entry(server: usize) -> ServerEntry {
    ServerEntry {
        slots: SLOTS as u32,
        ..entry(&name(server), ZONES[server % ZONES.len()])
    }
}

impl World {
    pub fn new(settings: Settings) -> Self {
        let mut world = Self {
            settings,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            now: at(0),
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            next: 0,
            instances: Vec::new(),
            servers: (0..settings.servers).map(|_| Server::default()).collect(),
            tokens: vec![SharedTokens::default(); settings.servers],
            outcome: Outcome::default(),
        };
        for number in 0..settings.instances {
            let started = world.start(number, 0);
            world.instances.push(started);
            let delay_ms = world.random.random_range(0..20);
            world.push(SpanMs::new(delay_ms), Step::Call(number));
        }
        world
    }

    fn start(&self, number: usize, incarnation: u32) -> Instance {
        let mut pool = pool();
        for server in 0..self.settings.servers {
            pool.apply(self.now, server_entry(server));
        }
        Instance {
            pool,
            placer: placer(ZONES[number % ZONES.len()]),
            incarnation,
            started_at: self.now,
        }
    }

    pub fn schedule(&mut self, at_ms: u64, event: Event) {
        let delay = at(at_ms).since(self.now);
        self.push(delay, Step::Event(event));
    }

    fn push(&mut self, delay: SpanMs, step: Step) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.steps.insert(self.next, step);
    }

    /// Plays the history up to a time.
    pub fn play(&mut self, until_ms: u64) {
        while let Some(Reverse((due, number))) = self.queue.peek().copied() {
            if due >= at(until_ms) {
                return;
            }
            self.queue.pop();
            self.now = due;
            if let Some(step) = self.steps.remove(&number) {
                self.take(step);
            }
        }
    }

    pub fn most_in_a_rest(&self, on_the_way_ms: u64) -> usize {
        outcome::most_in_a_rest(&self.servers, SpanMs::new(on_the_way_ms))
    }

    pub fn arrived(&self, server: usize, from_ms: u64, to_ms: u64) -> usize {
        outcome::arrived(&self.servers[server], at(from_ms), at(to_ms))
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Event(event) => self.happen(event),
            Step::Call(by) => self.call(by),
            Step::Arrive(attempt) => self.arrive(attempt),
            Step::Answer(attempt, report, end) => self.answer(attempt, &report, end),
            Step::Tell(to, key, remaining) => self.tell(to, key, remaining),
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Wish(server, wish) => self.servers[server].wish = wish,
            Event::Leave(server) => self.servers[server].is_leaving = true,
            Event::Restart(number) => {
                let incarnation = self.instances[number].incarnation + 1;
                self.instances[number] = self.start(number, incarnation);
            }
            Event::Lapse(number, server) => {
                let id = server_id(&name(server));
                self.instances[number].pool.remove(self.now, &id);
            }
            Event::Read(number, server) => {
                let pool = &mut self.instances[number].pool;
                pool.apply(self.now, server_entry(server));
            }
        }
    }

    fn call(&mut self, by: usize) {
        let mean_ms = 1_000.0 * self.settings.instances as f64 / self.settings.calls_per_s;
        let delay_ms = self.random.random_range(0.0..2.0 * mean_ms) as u64;
        self.push(SpanMs::new(delay_ms), Step::Call(by));
        self.outcome.calls += 1;
        let object = self.random.random_range(0..OBJECTS);
        let attempt = Attempt {
            exchange: ExchangeId(self.next),
            by,
            incarnation: self.instances[by].incarnation,
            server: 0,
            object: object.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            called_at: self.now,
            sent_at: self.now,
            tried: Vec::new(),
        };
        self.place(attempt);
    }

    /// Sends a request to the server that its instance selects, or refuses it.
    fn place(&mut self, mut attempt: Attempt) {
        let mut offered = attempt.tried.clone();
        for _ in 0..MAX_OFFERS {
            let choice = self.choose(&attempt, &offered);
            let Some(server) = server_index(&choice) else {
                self.outcome.refused += 1;
                self.outcome.refused_in_vain += u64::from(self.is_in_vain(&attempt, &choice));
                return;
            };
            offered.push(server);
            let needs_token = self.settings.design == Design::Tokens;
            if needs_token && !self.tokens[server].take(self.now) {
                continue;
            }
            attempt.server = server;
            attempt.exchange = ExchangeId(self.next);
            attempt.sent_at = self.now;
            let pool = &mut self.instances[attempt.by].pool;
            if let Some(mut known) = pool.server_mut(&server_id(&name(server))) {
                known.record_sent(self.now, attempt.exchange, 20.0);
            }
            let delay_ms = self.random.random_range(1..15);
            self.push(SpanMs::new(delay_ms), Step::Arrive(attempt));
            return;
        }
        self.outcome.refused += 1;
    }

    fn choose(&mut self, attempt: &Attempt, excluded: &[usize]) -> Choice {
        let (route, service) = (route(), service_id());
        let tried: Vec<_> = excluded.iter().map(|one| server_id(&name(*one))).collect();
        let request = PlacementRequest {
            route: &route,
            team: None,
            service: &service,
            object: Some(attempt.object),
            tried: &tried,
            remaining_ms: 2_000,
            spread: self.random.random(),
        };
        let instances = self.settings.instances;
        let Instance { pool, placer, .. } = &mut self.instances[attempt.by];
        pool.expire(self.now);
        placer.choose(self.now, pool, &configuration(), &request, instances)
    }

    /// Returns whether a request was refused as if all servers rested although one takes requests.
    fn is_in_vain(&self, attempt: &Attempt, choice: &Choice) -> bool {
        let Choice::Refuse(refusal) = choice else {
            return false;
        };
        let pool = &self.instances[attempt.by].pool;
        let mut free = pool.servers().filter(|server| {
            let number = server.entry.id.as_str().rsplit('-').next();
            let number = number.and_then(|number| number.parse().ok());
            let was_tried = number.is_some_and(|number: usize| attempt.tried.contains(&number));
            let known = &server.availability;
            !was_tried
                && known.check(self.now).is_ok()
                && known.rest.returned_share(self.now, 0) >= 1.0
        });
        refusal.reason == RefusalReason::Resting && free.next().is_some()
    }

    fn arrive(&mut self, attempt: Attempt) {
        let from = (attempt.by, attempt.incarnation);
        let server = &mut self.servers[attempt.server];
        let reply = server.receive(self.now, from, &mut self.random);
        let load = server.load(self.now);
        let is_leaving = server.is_leaving;
        let report = ServerReport {
            load: Some(LoadReport {
                running: load.min(SLOTS) as u32,
                waiting: load.saturating_sub(SLOTS) as u32,
                slots: SLOTS as u32,
            }),
            is_leaving,
            is_signed: true,
            is_able: true,
            ..ServerReport::default()
        };
        let back_ms = self.random.random_range(1..15);
        let (delay, report, end) = match reply {
            Reply::Runs(end) => (end.since(self.now), report, ExchangeEnd::Answered),
            Reply::Full => (SpanMs::ZERO, report, ExchangeEnd::Shed),
            Reply::Rejects(rest) => {
                self.outcome.rejected += 1;
                let rejection = ServerReport {
                    rest: RestStatement::Rest(retry_after(rest)),
                    is_able: false,
                    ..report
                };
                (SpanMs::ZERO, rejection, ExchangeEnd::Shed)
            }
        };
        let delay = SpanMs::new(delay.get() + back_ms);
        self.push(delay, Step::Answer(attempt, report, end));
    }

    fn answer(&mut self, mut attempt: Attempt, report: &ServerReport, end: ExchangeEnd) {
        let by = attempt.by;
        if self.instances[by].incarnation != attempt.incarnation {
            return;
        }
        let kept = match self.settings.design {
            Design::Ignored | Design::Tokens => ServerReport {
                rest: RestStatement::Nothing,
                ..*report
            },
            _ => *report,
        };
        let id = server_id(&name(attempt.server));
        let pool = &mut self.instances[by].pool;
        if let Some(mut known) = pool.server_mut(&id) {
            known.record_end(self.now, attempt.exchange, end, kept);
        }
        let source = StatementSource::Response;
        let changes = pool.apply_response(self.now, attempt.sent_at, &id, &kept, source);
        if let RestStatement::Rest(rest) = report.rest {
            self.tokens[attempt.server].record_rest(self.now, rest.span());
        }
        if let Some(change) = changes.rest {
            self.share(by, ServerKey::of(&id), change.remaining);
        }
        if end == ExchangeEnd::Answered {
            self.outcome.served += 1;
            self.outcome.took_ms += self.now.since(attempt.called_at).get();
            return;
        }
        attempt.tried.push(attempt.server);
        if attempt.tried.len() < ATTEMPTS {
            self.place(attempt);
        } else {
            self.outcome.refused += 1;
        }
    }

    fn share(&mut self, by: usize, key: ServerKey, remaining: SpanMs) {
        if !matches!(self.settings.design, Design::Shared | Design::Hinted) {
            return;
        }
        for to in (0..self.settings.instances).filter(|to| *to != by) {
            self.outcome.messages += 1;
            if !self.random.random_bool(self.settings.lost) {
                let delay_ms = self.random.random_range(1..60);
                self.push(SpanMs::new(delay_ms), Step::Tell(to, key, remaining));
            }
        }
    }

    fn tell(&mut self, to: usize, key: ServerKey, remaining: SpanMs) {
        let pool = &mut self.instances[to].pool;
        if self.settings.design == Design::Shared {
            pool.apply_rest(self.now, key, remaining);
        } else {
            pool.learn_rest_of_other(self.now, key, remaining);
        }
    }
}

fn retry_after(rest: SpanMs) -> RetryAfter {
    let text = format!("{}", rest.get() as f64 / 1_000.0);
    text.parse().expect("a time")
}
