//! The instances, the server and the network between them.

use std::collections::BinaryHeap;

use damaskvane_core::time::TimeMs;
use damaskvane_routing::limit::RequestRate;
use damaskvane_routing::pool::LimitStatement;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::design::Design;
use super::event::{Due, Event};
use super::instance::Instance;
use super::outcome::{Arrival, Outcome};

/// Period of heartbeats.
const HEARTBEAT_MS: u64 = 800;
/// Largest delay of the report of a limit.
const MAX_ANNOUNCE_MS: u64 = 100;
/// Time in which the server works on a request.
const WORK_MS: u64 = 5;

/// A history, before its faults are drawn.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    pub seed: u64,
    pub design: Design,
    pub instances: usize,
    pub zones: usize,
    /// Calls a second of each instance, for the server.
    pub calls_per_s: f64,
    /// Factor by which each further instance has fewer calls.
    pub unevenness: f64,
    /// Share of messages between instances that are lost.
    pub lost: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            design: Design::Leases(3),
            instances: 8,
            zones: 4,
            calls_per_s: 5.0,
            unevenness: 1.0,
            lost: 0.0,
        }
    }
}

#[derive(Debug)]
pub struct World {
    pub settings: Settings,
    pub now_ms: u64,
    pub instances: Vec<Instance>,
    pub outcome: Outcome,
    pub(super) random: Pcg64Mcg,
    pub(super) last_id: u64,
    queue: BinaryHeap<Due>,
    serial: u64,
    named: Option<RequestRate>,
}

impl World {
    pub fn new(settings: Settings) -> Self {
        let instances = settings.instances;
        let mut world = Self {
            settings,
            now_ms: 0,
            instances: (0..instances)
                .map(|one| Instance::new(0, one % settings.zones, instances, 0))
                .collect(),
            outcome: Outcome::default(),
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            last_id: 0,
            queue: BinaryHeap::new(),
            serial: 0,
            named: None,
        };
        world.outcome.limits.push((0, None));
        for at in 0..instances {
            world.schedule(0, Event::Heartbeat { from: at });
            world.schedule_call(at);
        }
        world
    }

    /// Plays until this time.
    pub fn play(&mut self, until_ms: u64) {
        while self.queue.peek().is_some_and(|due| due.at_ms <= until_ms) {
            let Some(due) = self.queue.pop() else { return };
            self.now_ms = due.at_ms;
            self.apply(due.event);
        }
        self.now_ms = until_ms;
    }

    pub fn schedule(&mut self, at_ms: u64, event: Event) {
        self.serial += 1;
        self.queue.push(Due {
            at_ms,
            serial: self.serial,
            event,
        });
    }

    pub fn now(&self) -> TimeMs {
        TimeMs::new(self.now_ms)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Call { at } => {
                self.schedule_call(at);
                self.outcome.calls += 1;
                self.call(at);
            }
            Event::Arrive {
                from,
                sent_ms,
                incarnation,
            } => self.arrive(from, sent_ms, incarnation),
            Event::Respond {
                to,
                sent_ms,
                incarnation,
                rate,
            } => self.respond(to, sent_ms, incarnation, rate),
            Event::Ask {
                from,
                to,
                id,
                is_relayed,
            } => self.serve_ask(from, to, id, is_relayed),
            Event::AskLease {
                from,
                to,
                asked_ms,
                incarnation,
            } => self.lend_share(from, to, asked_ms, incarnation),
            Event::Lease {
                to,
                from,
                asked_ms,
                incarnation,
                tokens,
            } => self.receive_lease(to, from, asked_ms, incarnation, tokens),
            Event::Reply {
                to,
                from,
                id,
                wait_ms,
            } => self.receive_reply(to, from, id, wait_ms),
            Event::AskTimeout { at, id } => self.time_out(at, id),
            Event::Borrow {
                from,
                to,
                round,
                tokens,
            } => self.lend(from, to, round, tokens),
            Event::Loan { to, round, tokens } => self.receive_loan(to, round, tokens),
            Event::RoundEnd { at, round } => self.end_round(at, round),
            Event::Announce { from, incarnation } => self.announce(from, incarnation),
            Event::Report { to, rate, age_ms } => {
                let now = self.now();
                let sent_at = TimeMs::new(self.now_ms.saturating_sub(age_ms));
                let limit = &mut self.instances[to].limit;
                limit.apply_report(now, sent_at, rate);
            }
            Event::Heartbeat { from } => self.heartbeat(from),
            Event::Name { rate } => {
                self.named = rate;
                self.outcome.limits.push((self.now_ms, rate));
            }
            Event::Restart { at } => self.restart(at),
            Event::Cut { at, group } => self.instances[at].group = group,
        }
    }

    fn schedule_call(&mut self, at: usize) {
        let Settings {
            calls_per_s,
            unevenness,
            ..
        } = self.settings;
        let per_s = calls_per_s * unevenness.powi(at as i32);
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        let wait_ms = (-uniform.ln() / per_s * 1_000.0).min(1e9) as u64 + 1;
        self.schedule(self.now_ms + wait_ms, Event::Call { at });
    }

    /// Sends a request to the server.
    pub(super) fn send_request(&mut self, from: usize) {
        let arrives_ms = self.now_ms + self.random.random_range(1..15);
        let incarnation = self.instances[from].incarnation;
        let sent_ms = self.now_ms;
        self.schedule(
            arrives_ms,
            Event::Arrive {
                from,
                sent_ms,
                incarnation,
            },
        );
    }

    fn arrive(&mut self, from: usize, sent_ms: u64, incarnation: u64) {
        self.outcome.arrivals.push(Arrival {
            from,
            at_ms: self.now_ms,
            sent_ms,
            told_ms: self.instances[from].told_ms,
        });
        let at_ms = self.now_ms + WORK_MS + self.random.random_range(1..15);
        let rate = self.named;
        self.schedule(
            at_ms,
            Event::Respond {
                to: from,
                sent_ms,
                incarnation,
                rate,
            },
        );
    }

    fn respond(&mut self, to: usize, sent_ms: u64, incarnation: u64, rate: Option<RequestRate>) {
        let (now_ms, now) = (self.now_ms, self.now());
        let instance = &mut self.instances[to];
        if instance.incarnation != incarnation {
            return;
        }
        let statement = rate.map_or(LimitStatement::Unlimited, LimitStatement::Limited);
        let sent_at = TimeMs::new(sent_ms);
        if rate.is_some() {
            instance.told_ms.get_or_insert(now_ms);
        }
        let change = instance.limit.apply_response(now, sent_at, statement);
        if change.is_some() {
            let at_ms = now_ms + self.random.random_range(0..=MAX_ANNOUNCE_MS);
            let from = to;
            self.schedule(at_ms, Event::Announce { from, incarnation });
        }
    }

    fn announce(&mut self, from: usize, incarnation: u64) {
        let instance = &mut self.instances[from];
        if instance.incarnation != incarnation || !instance.limit.is_news() {
            return;
        }
        instance.limit.record_reported();
        for to in 0..self.instances.len() {
            if to != from {
                self.report(from, to);
            }
        }
    }

    fn report(&mut self, from: usize, to: usize) {
        let limit = self.instances[from].limit;
        let age_ms = limit.age(self.now()).get();
        let rate = limit.rate();
        self.send(from, to, Event::Report { to, rate, age_ms });
    }

    /// Sends a message between instances, unless it is lost or they are cut off from each other.
    pub(super) fn send(&mut self, from: usize, to: usize, event: Event) {
        self.outcome.messages += 1;
        let is_cut = self.instances[from].group != self.instances[to].group;
        if is_cut || self.random.random_bool(self.settings.lost) {
            return;
        }
        let is_near = self.instances[from].zone == self.instances[to].zone;
        let delay_ms = if is_near {
            self.random.random_range(1..4)
        } else {
            self.random.random_range(5..20)
        };
        self.schedule(self.now_ms + delay_ms, event);
    }

    fn heartbeat(&mut self, from: usize) {
        self.schedule(self.now_ms + HEARTBEAT_MS, Event::Heartbeat { from });
        let now_ms = self.now_ms;
        let group = self.instances[from].group;
        let others = self.instances.iter_mut().filter(|one| one.group == group);
        for other in others {
            other.heard_ms[from] = now_ms;
        }
    }

    /// Starts an instance again; another one tells it of the limit.
    fn restart(&mut self, at: usize) {
        let count = self.instances.len();
        let old = &self.instances[at];
        let mut started = Instance::new(old.incarnation + 1, old.zone, count, self.now_ms);
        started.group = old.group;
        self.instances[at] = started;
        let informant = (at + 1) % count;
        self.report(informant, at);
    }
}
