//! A zone under load in virtual time.

use std::collections::VecDeque;

use damaskvane_core::{ids, time};
use damaskvane_membership::ownership;
use damaskvane_slots::permit;
use rand::{RngExt, SeedableRng};

use crate::slots::lease::{self, Leases};
use crate::slots::report::{Row, Tally};
use crate::slots::way::Way;

const SERVERS: usize = 4;
const SLOTS: u32 = 6;
const SERVICE_MS: u64 = 50;
/// A request that waited so long is refused.
const MOST_WAIT_MS: u64 = 1_000;
/// No owner lends before its predecessor's leases must have lapsed.
const WARM_UP_MS: u64 = 6_000;

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub(super) struct Case {
    pub(super) instances: usize,
    pub(super) load_percent: u64,
    /// Whether the first instance gets four fifths of the requests.
    pub(super) is_skewed: bool,
    /// Whether the instances don't reach each other.
    pub(super) is_cut: bool,
    /// One way between two instances.
    pub(super) hop_ms: u64,
    pub(super) seconds: u64,
    seed: u64,
}

impl Case {
    pub(super) fn all(seconds: u64, seed: u64) -> Vec<Self> {
        let mut cases = Vec::new();
        for (instances, is_skewed, is_cut, hop_ms) in [
            (1, false, false, 1),
            (2, false, false, 1),
            (2, true, false, 1),
            (2, true, false, 3),
            (2, true, true, 1),
            (18, false, false, 1),
        ] {
            for load_percent in [50, 80, 95] {
                cases.push(Self {
                    instances,
                    load_percent,
                    is_skewed,
                    is_cut,
                    hop_ms,
                    seconds,
                    seed,
                });
            }
        }
        cases
    }
}

struct Running {
    ends_at: time::TimeMs,
    instance: usize,
    server: usize,
    permit: Option<permit::ReleasedPermit>,
}

/// A zone under load.
pub(super) struct Zone {
    case: Case,
    way: Way,
    random: rand_pcg::Pcg64Mcg,
    leases: Leases,
    owners: Vec<usize>,
    waiting: Vec<VecDeque<time::TimeMs>>,
    running: Vec<Running>,
    tally: Tally,
}

impl Zone {
    pub(super) fn new(case: Case, way: Way) -> Self {
        let names: Vec<ids::InstanceId> = (0..case.instances)
            .map(|instance| format!("a-{instance}").parse().expect("a valid name"))
            .collect();
        let owner = |number: usize| {
            let owner = ownership::owner(lease::server(number).as_str(), &names);
            names
                .iter()
                .position(|name| Some(name) == owner.as_ref())
                .unwrap_or_default()
        };
        Self {
            case,
            way,
            random: rand_pcg::Pcg64Mcg::seed_from_u64(case.seed),
            leases: Leases::new(case.instances, SERVERS, SLOTS, case.hop_ms),
            owners: (0..SERVERS).map(owner).collect(),
            waiting: vec![VecDeque::new(); case.instances],
            running: Vec::new(),
            tally: Tally::default(),
        }
    }

    pub(super) fn run(mut self) -> Row {
        for ms in 0..WARM_UP_MS {
            self.leases.step(time::TimeMs::new(ms));
        }
        self.leases.messages = 0;
        self.leases.is_cut = self.case.is_cut;
        for ms in WARM_UP_MS..WARM_UP_MS + self.case.seconds * 1_000 {
            self.step(time::TimeMs::new(ms));
        }
        self.tally.messages += self.leases.messages;
        let slots = SERVERS as u64 * u64::from(SLOTS);
        Row::new(self.case, self.way, self.tally, slots)
    }

    fn step(&mut self, now: time::TimeMs) {
        self.leases.step(now);
        self.end(now);
        self.arrive(now);
        for instance in 0..self.case.instances {
            self.serve(now, instance);
        }
        let waiting: usize = self.waiting.iter().map(VecDeque::len).sum();
        let free = SERVERS * SLOTS as usize - self.running.len();
        self.tally.stranded_slot_ms += waiting.min(free) as u64;
    }

    fn end(&mut self, now: time::TimeMs) {
        let (ended, running): (Vec<Running>, Vec<Running>) = self
            .running
            .drain(..)
            .partition(|running| running.ends_at <= now);
        self.running = running;
        for done in ended {
            if let Some(permit) = done.permit {
                self.leases.finish(now, done.instance, &permit);
            }
        }
    }

    fn arrive(&mut self, now: time::TimeMs) {
        let slots = SERVERS as u64 * u64::from(SLOTS);
        // Slots times load, over the mean service time, in arrivals a millisecond.
        let mut expected = slots as f64 * self.case.load_percent as f64 / 100.0 / SERVICE_MS as f64;
        while expected > 0.0 {
            if self.random.random::<f64>() < expected.min(1.0) {
                let instance = self.pick();
                self.waiting[instance].push_back(now);
            }
            expected -= 1.0;
        }
    }

    fn pick(&mut self) -> usize {
        if self.case.is_skewed && self.random.random_ratio(4, 5) {
            return 0;
        }
        let first = usize::from(self.case.is_skewed);
        self.random.random_range(first..self.case.instances)
    }

    fn serve(&mut self, now: time::TimeMs, instance: usize) {
        while let Some(arrived) = self.waiting[instance].front().copied() {
            let waited_ms = now.since(arrived).get();
            if waited_ms >= MOST_WAIT_MS {
                self.tally.refused += 1;
                self.waiting[instance].pop_front();
                continue;
            }
            let Some((server, hop_ms, permit)) = self.begin(now, instance) else {
                break;
            };
            self.waiting[instance].pop_front();
            self.tally.waits_ms.push(waited_ms + hop_ms);
            // An exponential service time of the mean above, cut where the tail no longer matters.
            let unit = self.random.random::<f64>().max(1e-4);
            let service_ms = (-unit.ln() * SERVICE_MS as f64).ceil() as u64;
            self.running.push(Running {
                ends_at: now + time::SpanMs::new(service_ms + hop_ms),
                instance,
                server,
                permit,
            });
        }
        let waiting = u32::try_from(self.waiting[instance].len()).unwrap_or(u32::MAX);
        if self.way == Way::Lease && waiting > 0 {
            self.leases.demand(now, instance, SERVERS, waiting);
        }
    }

    /// A free slot for a request: its backend server, the added way, and the permit.
    fn begin(
        &mut self,
        now: time::TimeMs,
        instance: usize,
    ) -> Option<(usize, u64, Option<permit::ReleasedPermit>)> {
        match self.way {
            Way::Lease => {
                let permit = self.leases.begin(now, instance, SERVERS)?;
                Some((0, 0, Some(permit.into_released())))
            }
            Way::Share => (0..SERVERS)
                .find(|server| self.used_by(instance, *server) < self.share(instance))
                .map(|server| (server, 0, None)),
            Way::Owner => self.through_owner(instance),
        }
    }

    fn through_owner(
        &mut self,
        instance: usize,
    ) -> Option<(usize, u64, Option<permit::ReleasedPermit>)> {
        let mut order: Vec<usize> = (0..SERVERS).collect();
        order.sort_by_key(|server| self.owners[*server] != instance);
        let server = order.into_iter().find(|server| {
            let is_reached = !self.case.is_cut || self.owners[*server] == instance;
            is_reached && self.used(*server) < SLOTS as usize
        })?;
        if self.owners[server] == instance {
            return Some((server, 0, None));
        }
        self.tally.messages += 2;
        Some((server, 2 * self.case.hop_ms, None))
    }

    fn used(&self, server: usize) -> usize {
        let on_server = self
            .running
            .iter()
            .filter(|running| running.server == server);
        on_server.count()
    }

    fn used_by(&self, instance: usize, server: usize) -> usize {
        let own = self
            .running
            .iter()
            .filter(|running| running.instance == instance);
        own.filter(|running| running.server == server).count()
    }

    /// The first instances get what does not divide.
    fn share(&self, instance: usize) -> usize {
        let (slots, instances) = (SLOTS as usize, self.case.instances);
        slots / instances + usize::from(instance < slots % instances)
    }
}
