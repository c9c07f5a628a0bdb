//! The events of a history.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::configuration::{Configuration, Route};
use damaskvane_routing::placement::{AnsweredRequest, Pick};
use damaskvane_routing::pool::{
    ExchangeEnd, ExchangeId, LoadReport, ServerEntry, ServerReport, TimeFactor,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::demand::{Call, Demand, Objects};
use super::instance::{Instance, Way};
use super::outcome::Outcome;
use super::server::Server;
use crate::support::{at, configuration, entry, placer, pool, route, server_id, service_id};

const ZONES: [&str; 3] = ["east-a", "east-b", "west-a"];
/// Mean time of a first run on a machine of the usual speed; the route's objective is 250 ms.
pub const FIRST_RUN_MS: f64 = 350.0;
/// Share of that time that a run takes on a server which remembers the object.
const WARM_SHARE: f64 = 0.3;
/// Time from an instance to a server.
const WAY_MS: u64 = 2;
/// Time for which a machine keeps its speed.
const SPEED_MS: u64 = 600;
/// Share of the machines that are slow, and how much longer work takes on them.
const SLOW_SHARE: f64 = 0.15;
const SLOW_RATIO: f64 = 2.5;
/// Shortest interval between reports to the zone, and the interval for each recipient, as in the gateway.
const REPORT_MS: u64 = 250;
const REPORT_MS_PER_RECIPIENT: u64 = 30;
/// Servers in one report.
const MAX_REPORTS: usize = 8;
/// Width of the windows in which bursts are counted.
const BURST_MS: u64 = 100;

/// What the reports of servers claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lie {
    /// The truth.
    Nothing,
    /// This server always claims to be free.
    Free(usize),
    /// No server reports its load.
    Silent,
}

/// A fleet and its demand.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub name: &'static str,
    pub instances: usize,
    pub servers: usize,
    pub slots: u32,
    pub objects: Objects,
    pub has_slow_machines: bool,
    /// Share of the slots that the demand needs on average on machines of the usual speed.
    pub use_share: f64,
    pub lie: Lie,
    /// When all instances start again, knowing nothing.
    pub restart_ms: Option<u64>,
    pub last_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    End(usize),
    Answer(usize),
    Report(usize),
    Restart,
}

struct Flight {
    call: Call,
    pick: Pick,
    server: usize,
    sent_ms: u64,
    report: ServerReport,
    incarnation: usize,
}

pub struct World {
    case: Case,
    way: Way,
    seed: u64,
    queue: BinaryHeap<Reverse<(u64, usize, Step)>>,
    flights: Vec<Flight>,
    pub servers: Vec<Server>,
    ids: Vec<ids::BackendServerId>,
    instances: Vec<Instance>,
    incarnation: usize,
    configuration: Configuration,
    route: Route,
    service: ids::ServiceId,
    windows: Vec<(u64, usize)>,
    pub outcome: Outcome,
    /// Time from which requests are counted.
    pub from_ms: u64,
}

fn name(server: usize) -> String {
    format!("{}-{server}", ZONES[server % ZONES.len()])
}

impl World {
    pub fn new(case: Case, way: Way, seed: u64) -> Self {
        let servers = 0..case.servers;
        let mut world = Self {
            case,
            way,
            seed,
            queue: BinaryHeap::new(),
            flights: Vec::new(),
            servers: servers.clone().map(|_| Server::new(case.slots)).collect(),
            ids: servers.map(|one| server_id(&name(one))).collect(),
            instances: Vec::new(),
            incarnation: 0,
            configuration: configuration(),
            route: route(),
            service: service_id(),
            windows: vec![(0, 0); case.servers],
            outcome: Outcome {
                sent: vec![0; case.servers],
                ..Outcome::default()
            },
            from_ms: case.last_ms / 2,
        };
        world.start(0);
        for instance in 0..case.instances {
            let offset_ms = instance as u64 * 37 % REPORT_MS;
            world.push(REPORT_MS + offset_ms, Step::Report(instance));
        }
        if let Some(at_ms) = case.restart_ms {
            world.push(at_ms, Step::Restart);
        }
        world
    }

    fn start(&mut self, now_ms: u64) {
        let instances = 0..self.case.instances;
        let started = instances.map(|number| {
            let mut pool = pool();
            for server in 0..self.case.servers {
                let zone = ZONES[server % ZONES.len()];
                let entry = ServerEntry {
                    slots: self.case.slots,
                    ..entry(&name(server), zone)
                };
                pool.apply(at(now_ms), entry);
            }
            let zone = ZONES[number % ZONES.len()];
            let mut placer = placer(zone);
            placer.settings.even_load = self.way == Way::Even;
            Instance { pool, placer, zone }
        });
        self.instances = started.collect();
    }

    pub fn play(mut self) -> Outcome {
        let case = self.case;
        let work_share = match case.objects {
            Objects::New => 1.0,
            Objects::Back(_) => 0.4,
        };
        let slots = case.servers as f64 * f64::from(case.slots);
        let calls_per_ms = case.use_share * slots / (FIRST_RUN_MS * work_share);
        let mut demand = Demand::new(self.seed, calls_per_ms, case.instances, case.objects);
        let mut call = demand.call();
        while call.at_ms < case.last_ms {
            while let Some(Reverse((now_ms, _, step))) = self.queue.peek().copied() {
                if now_ms > call.at_ms {
                    break;
                }
                self.queue.pop();
                self.step(now_ms, step);
            }
            self.send(call);
            call = demand.call();
        }
        self.outcome
    }

    fn push(&mut self, at_ms: u64, step: Step) {
        let order = self.queue.len();
        self.queue.push(Reverse((at_ms, order, step)));
    }

    const fn is_counted(&self, call: &Call) -> bool {
        call.at_ms >= self.from_ms
    }

    fn send(&mut self, call: Call) {
        let is_counted = self.is_counted(&call);
        let begun = Instant::now();
        let fixed = (&self.configuration, &self.route, &self.service);
        let instance = &mut self.instances[call.instance];
        let pick = instance.choose(self.way, &call, fixed, &self.ids, self.case.instances);
        if is_counted {
            self.outcome.calls += 1;
            self.outcome.choosing_ns += begun.elapsed().as_nanos();
        }
        let Some(pick) = pick else {
            self.outcome.refused += usize::from(is_counted);
            return;
        };
        let flight = self.flights.len();
        let mut server = instance.pool.server_mut(&pick.server).expect("a server");
        server.record_sent(at(call.at_ms), ExchangeId(flight as u64), pick.expected_ms);
        drop(server);
        let server = self.ids.iter().position(|id| *id == pick.server);
        let server = server.expect("a server of the model");
        self.count_burst(call.at_ms, server);
        self.outcome.sent[server] += usize::from(is_counted);
        self.flights.push(Flight {
            call,
            pick,
            server,
            sent_ms: call.at_ms,
            report: ServerReport::default(),
            incarnation: self.incarnation,
        });
        self.push(call.at_ms + WAY_MS, Step::Arrive(flight));
    }

    fn count_burst(&mut self, now_ms: u64, server: usize) {
        let window = now_ms / BURST_MS;
        let (at, count) = &mut self.windows[server];
        *count = if *at == window { *count + 1 } else { 1 };
        *at = window;
        if now_ms >= self.from_ms {
            self.outcome.burst = self.outcome.burst.max(*count);
        }
    }

    fn step(&mut self, now_ms: u64, step: Step) {
        match step {
            Step::Arrive(flight) => self.arrive(now_ms, flight),
            Step::End(flight) => self.end(now_ms, flight),
            Step::Answer(flight) => self.answer(now_ms, flight),
            Step::Report(instance) => self.report(now_ms, instance),
            Step::Restart => {
                self.incarnation += 1;
                self.start(now_ms);
            }
        }
    }

    fn arrive(&mut self, now_ms: u64, flight: usize) {
        let index = self.flights[flight].server;
        if self.servers[index].free() > 0 {
            self.run(now_ms, flight);
            return;
        }
        if self.is_counted(&self.flights[flight].call) {
            let others = self.servers.iter().enumerate();
            let others = others.filter(|(other, _)| *other != index);
            let (free, slots) = others.fold((0, 0), |(free, slots), (_, server)| {
                (free + server.free(), slots + server.slots)
            });
            self.outcome.queued += 1;
            self.outcome.needless += usize::from(free * 4 >= slots);
        }
        self.servers[index].waiting.push_back(flight);
    }

    fn run(&mut self, now_ms: u64, flight: usize) {
        let Flight { call, server, .. } = self.flights[flight];
        let ratio = self.time_ratio(now_ms, server);
        let is_counted = self.is_counted(&call);
        let server = &mut self.servers[server];
        server.running += 1;
        let is_warm = server.remember(now_ms, call.object);
        let share = if is_warm { WARM_SHARE } else { 1.0 };
        self.outcome.first_runs += usize::from(is_counted && !is_warm);
        let took_ms = (call.work_ms * share * ratio) as u64;
        self.push(now_ms + took_ms.max(1), Step::End(flight));
    }

    /// Returns how much longer than usual work takes on a server's machine.
    fn time_ratio(&self, now_ms: u64, server: usize) -> f64 {
        if !self.case.has_slow_machines {
            return 1.0;
        }
        let draw = (self.seed << 40) ^ ((now_ms / SPEED_MS) << 16) ^ server as u64;
        let mut random = Pcg64Mcg::seed_from_u64(draw);
        if random.random::<f64>() < SLOW_SHARE {
            SLOW_RATIO
        } else {
            1.0
        }
    }

    fn end(&mut self, now_ms: u64, flight: usize) {
        let index = self.flights[flight].server;
        let percent = (self.time_ratio(now_ms, index) * 100.0).to_string();
        let time_factor: Option<TimeFactor> = percent.parse().ok();
        let server = &mut self.servers[index];
        let load = match self.case.lie {
            Lie::Silent => None,
            Lie::Free(liar) if liar == index => Some(LoadReport {
                running: 0,
                waiting: 0,
                slots: server.slots,
            }),
            Lie::Nothing | Lie::Free(_) => Some(server.load()),
        };
        self.flights[flight].report = ServerReport {
            load,
            time_factor: time_factor.filter(|_| self.case.has_slow_machines),
            ..ServerReport::default()
        };
        server.running -= 1;
        let next = server.waiting.pop_front();
        self.push(now_ms + WAY_MS, Step::Answer(flight));
        if let Some(next) = next {
            self.run(now_ms, next);
        }
    }

    fn answer(&mut self, now_ms: u64, number: usize) {
        let flight = &self.flights[number];
        let call = flight.call;
        if self.is_counted(&call) {
            self.outcome.times_ms.push(now_ms - call.at_ms);
        }
        if flight.incarnation != self.incarnation {
            return;
        }
        let instance = &mut self.instances[call.instance];
        let now: TimeMs = at(now_ms);
        let mut server = instance.pool.server_mut(&flight.pick.server).expect("one");
        let exchange = ExchangeId(number as u64);
        server.record_end(now, exchange, ExchangeEnd::Answered, flight.report);
        drop(server);
        let answered = AnsweredRequest {
            route: &self.route,
            pick: &flight.pick,
            object: Some(call.object),
            bytes: 1_000,
            took_ms: now_ms - flight.sent_ms,
            has_waited: flight.report.load.is_some_and(|load| load.waiting > 0),
            time_factor: flight.report.time_factor,
        };
        let placer = &mut instance.placer;
        placer.record_answer(now, &mut instance.pool, &answered);
    }

    /// Sends the reports of busy servers to the zone's other instances.
    fn report(&mut self, now_ms: u64, number: usize) {
        let now = at(now_ms);
        let zone = self.instances[number].zone;
        let pool = &mut self.instances[number].pool;
        let reports = pool.take_server_reports(now, MAX_REPORTS, Some(now));
        let mut recipients = 0;
        for (other, instance) in self.instances.iter_mut().enumerate() {
            if other != number && instance.zone == zone {
                recipients += 1;
                if !reports.is_empty() {
                    instance.pool.apply_server_reports(now, &reports);
                    self.outcome.messages += 1;
                }
            }
        }
        let interval_ms = REPORT_MS.max(REPORT_MS_PER_RECIPIENT * recipients);
        self.push(now_ms + interval_ms, Step::Report(number));
    }
}
