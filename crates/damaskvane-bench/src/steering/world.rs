//! One run: clients with cached answers, zones with slots, instances that decide.

mod measuring;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use damaskvane_core::time;
use rand::{RngExt, SeedableRng};

use crate::steering::case::{Case, Length};
use crate::steering::decider::{Answer, Asker, Decider};
use crate::steering::deployment::Deployment;
use crate::steering::digests::{Counts, Wire};
use crate::steering::fault::{self, Fault};
use crate::steering::measure::{Measured, Meter};
use crate::steering::queue::Queue;
use crate::steering::traffic::{self, Traffic};

const TICK_US: u64 = 100_000;
const TICKS_PER_S: u64 = 10;
const TTL_US: u64 = 2_000_000;

/// How long a client waits for a zone that does not answer.
const DEAD_US: u64 = 200_000;

/// How much longer a client's first request takes where caches are cold.
const COLD_FACTOR: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
struct Cached {
    answer: Answer,
    until_us: u64,
    warm: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    arrives_us: u64,
    asked_us: u64,
    service: usize,
    source: usize,
    zone: usize,
    client: usize,
}

struct World<'a> {
    case: &'a Case,
    deployment: Deployment,
    rng: rand_pcg::Pcg64Mcg,
    traffic: Vec<Traffic>,
    queues: Vec<Vec<Queue>>,
    counts: Vec<Vec<Counts>>,
    deciders: Vec<Decider>,
    clients: Vec<Vec<Vec<Cached>>>,
    arrivals: BinaryHeap<Reverse<Arrival>>,
    wire: Wire,
    meter: Meter,
    steered_before: Vec<Vec<f64>>,
    now_us: u64,
    is_measured: bool,
}

/// Runs one case and returns what it measured after the warm-up.
#[must_use]
pub fn run_case(case: &Case, length: Length) -> Measured {
    let mut world = World::new(case);
    for tick in 0..length.run_s * TICKS_PER_S {
        world.now_us = tick * TICK_US;
        world.is_measured = tick >= length.warm_s * TICKS_PER_S;
        if tick % TICKS_PER_S == 0 {
            world.second();
        }
        world.tick();
    }
    world.meter.finish()
}

impl<'a> World<'a> {
    fn new(case: &'a Case) -> Self {
        let deployment = Deployment::new(case.deployment);
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(case.seed);
        let services = 0..deployment.services.len();
        let zones = deployment.zones.len();
        let unknown = Cached {
            answer: Answer::Refused,
            until_us: 0,
            warm: 0,
        };
        Self {
            case,
            traffic: services
                .map(|service| Traffic::new(&deployment, service, case.load_percent, &mut rng))
                .collect(),
            queues: deployment
                .services
                .iter()
                .map(|sizes| sizes.slots.iter().map(|slots| Queue::new(*slots)).collect())
                .collect(),
            counts: deployment
                .services
                .iter()
                .map(|_| vec![Counts::new(zones); zones])
                .collect(),
            deciders: (0..zones)
                .map(|_| Decider::new(&deployment, case.strategy))
                .collect(),
            clients: deployment
                .services
                .iter()
                .map(|sizes| vec![vec![unknown; sizes.clients_per_zone as usize]; zones])
                .collect(),
            arrivals: BinaryHeap::new(),
            steered_before: vec![vec![0.0; zones]; deployment.services.len()],
            wire: Wire::default(),
            meter: Meter::default(),
            now_us: 0,
            is_measured: false,
            deployment,
            rng,
        }
    }

    fn now(&self) -> time::TimeMs {
        time::TimeMs::new(self.now_us / 1_000)
    }

    fn now_s(&self) -> u64 {
        self.now_us / 1_000_000
    }

    fn zones(&self) -> core::ops::Range<usize> {
        0..self.deployment.zones.len()
    }

    fn is_dead(&self, zone: usize) -> bool {
        self.case.fault.region_lost(self.now_s()) && self.deployment.regions[zone] == fault::REGION
    }

    fn is_apart(&self, source: usize, zone: usize) -> bool {
        let is_hit = |zone: usize| self.deployment.regions[zone] == fault::REGION;
        self.case.fault.region_cut(self.now_s()) && is_hit(source) != is_hit(zone)
    }

    /// Reports, membership and plans, once a second.
    fn second(&mut self) {
        let second = self.now_s();
        for zone in self.zones() {
            for service in 0..self.deployment.services.len() {
                let running = self.queues[service][zone].running(self.now_us);
                let counts = &mut self.counts[service][zone];
                counts.running = running;
                counts.turn();
            }
            if !self.is_dead(zone) {
                let now = (self.now_us, self.case.fault);
                self.wire
                    .send(&self.deployment, &self.counts, zone, now, &mut self.rng);
            }
        }
        self.membership(second);
        if self.case.fault == Fault::ColdShift && second == fault::BEGIN_S {
            let now = self.now();
            self.deciders
                .iter_mut()
                .for_each(|decider| decider.start_shift(now));
        }
        if self.is_measured {
            self.measure_steered(second);
        }
    }

    fn membership(&mut self, second: u64) {
        let seen_away = self.case.fault.seen_away(second);
        let regions = &self.deployment.regions;
        for (reader, decider) in self.deciders.iter_mut().enumerate() {
            for (zone, id) in self.deployment.zones.iter().enumerate() {
                let is_hit = regions[zone] == fault::REGION;
                let is_other_side = is_hit != (regions[reader] == fault::REGION);
                let is_away = match self.case.fault {
                    Fault::Heal => is_other_side,
                    _ => is_hit,
                };
                decider.view.set_unreachable(id, seen_away && is_away);
            }
        }
    }

    fn tick(&mut self) {
        while let Some((reader, report)) = self.wire.arrived(self.now_us) {
            self.deciders[reader].view.apply_digest(report);
        }
        // Instances plan once a second, each zone's at a moment of its own.
        let tick = self.now_us / TICK_US;
        for zone in self.zones() {
            if tick % TICKS_PER_S == (zone as u64 * 3 + 2) % TICKS_PER_S {
                let now = self.now();
                let broken = self.deciders[zone].plan(&self.deployment, now);
                self.meter.broken_invariants += u64::from(broken);
            }
        }
        self.ask();
        let until_us = self.now_us + TICK_US;
        while let Some(Reverse(arrival)) = self.arrivals.peek().copied() {
            if arrival.arrives_us >= until_us {
                break;
            }
            self.arrivals.pop();
            self.arrive(arrival);
        }
    }

    /// The requests that clients start in this tick.
    fn ask(&mut self) {
        for service in 0..self.deployment.services.len() {
            let second = self.now_us as f64 / 1e6;
            let rates = self.traffic[service].rates_rps(&self.deployment, second);
            for (source, rate) in rates.into_iter().enumerate() {
                let count = traffic::poisson(rate / TICKS_PER_S as f64, &mut self.rng);
                for _ in 0..count {
                    self.one_request(service, source);
                }
            }
        }
    }

    fn one_request(&mut self, service: usize, source: usize) {
        let asked_us = self.now_us + self.rng.random_range(0..TICK_US);
        let clients = self.clients[service][source].len();
        let client = self.rng.random_range(0..clients);
        self.meter.requests += u64::from(self.is_measured);
        let mut sent_us = asked_us;
        let mut answer = self.look_up(service, source, client, false);
        if let Answer::Zone(zone) = answer
            && (self.is_dead(zone) || self.is_apart(source, zone))
        {
            // The connection fails and the client asks again.
            sent_us += DEAD_US;
            answer = self.look_up(service, source, client, true);
        }
        match answer {
            Answer::Zone(zone) if !self.is_dead(zone) && !self.is_apart(source, zone) => {
                let way_us = self.way_us(source, zone);
                let arrives_us = sent_us + way_us;
                self.arrivals.push(Reverse(Arrival {
                    arrives_us,
                    asked_us,
                    service,
                    source,
                    zone,
                    client,
                }));
            }
            _ => self.refuse(),
        }
    }

    fn way_us(&mut self, source: usize, zone: usize) -> u64 {
        let latency_ms = self.deployment.latency_ms(source, zone);
        (latency_ms * 1_000.0 * self.rng.random_range(0.9..1.3)) as u64
    }

    fn refuse(&mut self) {
        self.meter.refused += u64::from(self.is_measured);
    }

    /// The answer that a client uses: its cached one, or a new one of its nearest live instances.
    fn look_up(&mut self, service: usize, source: usize, client: usize, afresh: bool) -> Answer {
        let cached = self.clients[service][source][client];
        if cached.until_us > self.now_us && !afresh {
            return cached.answer;
        }
        let Some(asked) = self.asked(source) else {
            return Answer::Refused;
        };
        let asker = asker(service, source, client);
        let now = (self.now(), self.case.fault);
        let answer = self.deciders[asked].answer(&self.deployment, asker, now, &mut self.rng);
        let counts = &mut self.counts[service][asked];
        match answer {
            Answer::Zone(_) => counts.answered[source] += 1,
            Answer::Refused => counts.turned_away[source] += 1,
        }
        let cached = &mut self.clients[service][source][client];
        cached.answer = answer;
        cached.until_us = self.now_us + TTL_US;
        answer
    }

    /// The zone whose instances clients of a source ask: the nearest that answers.
    fn asked(&self, source: usize) -> Option<usize> {
        let nearest = self.deployment.nearest(source);
        let answers = |zone: &usize| !self.is_dead(*zone) && !self.is_apart(source, *zone);
        nearest.iter().copied().find(answers)
    }

    fn arrive(&mut self, arrival: Arrival) {
        let Arrival {
            service,
            zone,
            source,
            ..
        } = arrival;
        if self.is_dead(zone) {
            self.refuse();
            return;
        }
        self.counts[service][zone].arrived[source] += 1;
        let mut mean_ms = f64::from(self.deployment.services[service].time_ms);
        let warm = &mut self.clients[service][source][arrival.client].warm;
        if self.case.fault == Fault::ColdShift && *warm & 1 << zone == 0 {
            mean_ms *= COLD_FACTOR;
        }
        *warm |= 1 << zone;
        let takes_us = traffic::service_time_us(mean_ms, &mut self.rng);
        let sheds = self.sheds(zone) && self.rng.random();
        let starts_us = if sheds {
            None
        } else {
            self.queues[service][zone].run(arrival.arrives_us, takes_us)
        };
        let Some(starts_us) = starts_us else {
            self.counts[service][zone].refused += 1;
            self.meter.shed += u64::from(self.is_measured);
            self.refuse();
            return;
        };
        if self.is_measured {
            let back_us = self.way_us(source, zone);
            let latency_us = starts_us + takes_us + back_us - arrival.asked_us;
            self.meter.latencies_us.push(latency_us as u32);
        }
    }

    fn sheds(&self, zone: usize) -> bool {
        self.case.fault == Fault::IdleWhileShedding
            && self.case.fault.is_on(self.now_s())
            && zone == fault::ZONE
    }
}

fn asker(service: usize, source: usize, client: usize) -> Asker {
    let hash = ((service * 64 + source) as u64) << 32 | client as u64;
    Asker {
        service,
        source,
        hash: hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16,
    }
}
