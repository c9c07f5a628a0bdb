//! A zone in virtual time: instances with membership and slots, the platform's list, and backend servers
//! that count what really runs on them.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod digest;
pub(crate) mod disturbance;
mod messages;
mod requests;
mod setup;
pub(crate) mod trace;

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time, units};
use damaskvane_membership::{heartbeat, record, view};
use damaskvane_slots::{exchange, message, permit};
use rand::{RngExt, SeedableRng};
pub(crate) use setup::{at, id, ms, server, slot_settings};

pub(crate) const STEP_MS: u64 = 10;

/// Clients come to an instance that leaves for as long as they may use an old answer to a look-up.
const LOOKUP_TTL_MS: u64 = 2_000;

#[derive(Debug, Clone)]
enum Wire {
    Heartbeat(heartbeat::Heartbeat),
    Slots(message::AddressedMessage),
}

#[derive(Debug)]
struct Flying {
    due: time::TimeMs,
    from: ids::InstanceId,
    incarnation: ids::Incarnation,
    to: ids::InstanceId,
    wire: Wire,
}

/// A request on its way to a backend server, or on its way back.
#[derive(Debug)]
struct Job {
    starts_at: time::TimeMs,
    ends_at: time::TimeMs,
    answered_at: time::TimeMs,
    server: ids::BackendServerId,
    instance: ids::InstanceId,
    incarnation: u64,
    permit: Option<permit::ReleasedPermit>,
}

#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) incarnation: u64,
    pub(crate) membership: view::Membership,
    pub(crate) slots: exchange::SlotExchange,
    pub(crate) paused_until: time::TimeMs,
    pub(crate) left_at: Option<time::TimeMs>,
    /// Whether its record was written at the platform.
    is_announced: bool,
}

pub(crate) struct World {
    pub(crate) now: time::TimeMs,
    pub(crate) random: rand_pcg::Pcg32,
    pub(crate) instances: BTreeMap<ids::InstanceId, Instance>,
    pub(crate) servers: BTreeMap<ids::BackendServerId, u32>,
    pub(crate) list: BTreeMap<ids::InstanceId, record::InstanceRecord>,
    /// What the platform answers: its list as it was up to its lag ago.
    shown: Vec<record::InstanceRecord>,
    incarnations: BTreeMap<ids::InstanceId, u64>,
    pub(crate) cuts: BTreeSet<(ids::InstanceId, ids::InstanceId)>,
    pub(crate) without_platform: BTreeSet<ids::InstanceId>,
    pub(crate) loss_permille: u32,
    pub(crate) max_delay_ms: u64,
    /// Share of time steps in which each instance gets a request for each backend server.
    pub(crate) demand_percent: u32,
    /// Whether requests run for as long as they may.
    pub(crate) is_greedy: bool,
    flying: Vec<Flying>,
    jobs: Vec<Job>,
    pub(crate) started: u64,
    pub(crate) broken: u64,
    pub(crate) trace: trace::Trace,
    /// Time between two states of the platform's list that it shows.
    pub(crate) list_every_ms: u64,
    /// Whether a fence deletes the entry of whom it fences and leaves no mark.
    pub(crate) erases_marks: bool,
    /// What the first server saw that had more to run than slots, where that does not end the run.
    pub(crate) excess: Option<String>,
    pub(crate) tolerates_excess: bool,
    /// Lowered slots hold from then on.
    checked_from: time::TimeMs,
    /// Whether an instance without the platform may be cut from one of which it never heard.
    pub(crate) admits_known_gap: bool,
}

impl World {
    pub(crate) fn new(seed: u64, instances: &[&str], slots: &[u32]) -> Self {
        let mut world = Self {
            now: at(1_000),
            random: rand_pcg::Pcg32::seed_from_u64(seed),
            instances: BTreeMap::new(),
            servers: slots
                .iter()
                .enumerate()
                .map(|(number, slots)| (server(number), *slots))
                .collect(),
            list: BTreeMap::new(),
            shown: Vec::new(),
            incarnations: BTreeMap::new(),
            cuts: BTreeSet::new(),
            without_platform: BTreeSet::new(),
            loss_permille: 0,
            max_delay_ms: 5,
            demand_percent: 20,
            is_greedy: false,
            flying: Vec::new(),
            jobs: Vec::new(),
            started: 0,
            broken: 0,
            trace: trace::Trace::default(),
            list_every_ms: 300,
            erases_marks: false,
            excess: None,
            tolerates_excess: false,
            checked_from: time::TimeMs::ZERO,
            admits_known_gap: true,
        };
        for name in instances {
            world.start(&id(name));
        }
        world
    }

    /// A zone under full load, with requests as long as they may be, in which every backend server has an owner.
    pub(crate) fn busy(instances: &[&str], slots: &[u32]) -> Self {
        let mut world = Self::new(1, instances, slots);
        world.is_greedy = true;
        world.demand_percent = 100;
        world.run(8_000);
        for number in 0..slots.len() {
            assert!(
                world.owner(number).is_some(),
                "server {number} has no owner"
            );
        }
        world
    }

    /// Starts an instance, or starts it again; it announces itself if it reaches the platform.
    pub(crate) fn start(&mut self, name: &ids::InstanceId) {
        let incarnation = self.incarnations.entry(name.clone()).or_default();
        *incarnation += 1;
        let incarnation = *incarnation;
        let own = view::OwnInstance::new(
            name.clone(),
            "a".parse().expect("a valid zone"),
            ids::Incarnation::new(incarnation),
        );
        let mut slots = exchange::SlotExchange::new(name.clone(), own.incarnation, slot_settings());
        slots.handle(self.now, exchange::Event::Servers(self.limits()));
        let instance = Instance {
            incarnation,
            membership: view::Membership::new(own, setup::membership_settings(), self.now),
            slots,
            paused_until: self.now,
            left_at: None,
            is_announced: false,
        };
        self.instances.insert(name.clone(), instance);
        let started = trace::Happening::Started(name.clone(), incarnation);
        self.trace.note(self.now, started);
        self.announce(name);
    }

    /// Writes an instance's record once it reaches the platform.
    fn announce(&mut self, name: &ids::InstanceId) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        if instance.is_announced || self.without_platform.contains(name) {
            return;
        }
        instance.is_announced = true;
        let record = setup::record(name, instance.incarnation);
        self.list.insert(name.clone(), record);
    }

    /// Starts an instance while all others can learn of it.
    ///
    /// What is not covered: one that is cut off from the platform and from a newcomer that it has never
    /// heard of goes on beside it, as it must in a zone that is cut off as a whole.
    pub(crate) fn join(&mut self, name: &ids::InstanceId) {
        self.without_platform.clear();
        self.cuts.clear();
        for instance in self.instances.values_mut() {
            instance.paused_until = instance.paused_until.min(self.now);
        }
        (self.loss_permille, self.max_delay_ms) = (0, 5);
        self.start(name);
        self.run(1_500);
    }

    /// Operators change the slots of all backend servers; what runs has one lease to end.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        for limit in self.servers.values_mut() {
            *limit = slots;
        }
        let limits = self.limits();
        let names: Vec<ids::InstanceId> = self.instances.keys().cloned().collect();
        for name in names {
            self.slots(&name, exchange::Event::Servers(limits.clone()));
        }
        self.checked_from = self.now + slot_settings().lease_ms;
    }

    fn limits(&self) -> Vec<exchange::ServerSlots> {
        let servers = self.servers.iter();
        let limits = servers.map(|(server, slots)| exchange::ServerSlots {
            server: server.clone(),
            slots: units::Slots::new(*slots),
        });
        limits.collect()
    }

    /// The process dies; what it has running goes on at the backend servers.
    pub(crate) fn kill(&mut self, name: &ids::InstanceId) {
        if self.instances.remove(name).is_some() {
            self.trace
                .note(self.now, trace::Happening::Died(name.clone()));
        }
    }

    pub(crate) fn leave(&mut self, name: &ids::InstanceId) {
        if let Some(instance) = self.instances.get_mut(name) {
            instance.left_at = Some(self.now);
            self.trace
                .note(self.now, trace::Happening::Left(name.clone()));
        }
        self.membership(name, view::Event::Leave);
    }

    pub(crate) fn run(&mut self, span_ms: u64) {
        for _ in 0..span_ms / STEP_MS {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + ms(STEP_MS);
        if self.now.get().is_multiple_of(self.list_every_ms) {
            self.shown = self.list.values().cloned().collect();
        }
        self.deliver();
        self.answer();
        let names: Vec<ids::InstanceId> = self.instances.keys().cloned().collect();
        for name in names {
            if self.is_running(&name) {
                self.tick(&name);
            }
        }
        self.trace_phases();
        self.check();
    }

    fn is_running(&self, name: &ids::InstanceId) -> bool {
        self.instances
            .get(name)
            .is_some_and(|instance| instance.paused_until <= self.now)
    }

    fn tick(&mut self, name: &ids::InstanceId) {
        let has_platform = !self.without_platform.contains(name);
        self.announce(name);
        if self.now.get().is_multiple_of(500) && has_platform {
            let event = view::Event::List {
                records: self.shown.clone(),
                age: ms(0),
                source: view::ListSource::Platform,
            };
            self.membership(name, event);
        }
        if self.now.get().is_multiple_of(50) {
            self.membership(name, view::Event::Tick);
            self.slots(name, exchange::Event::Tick);
        }
        let servers: Vec<ids::BackendServerId> = self.servers.keys().cloned().collect();
        for server in servers {
            if self.random.random_range(0..100) < self.demand_percent {
                self.request(name, &server);
            }
        }
        self.stop_if_drained(name);
    }

    fn stop_if_drained(&mut self, name: &ids::InstanceId) {
        let now = self.now;
        let is_over = self
            .instances
            .get(name)
            .is_some_and(|instance| instance.left_at.is_some() && instance.slots.is_drained(now));
        if is_over {
            self.instances.remove(name);
            self.list.remove(name);
        }
    }

    pub(crate) fn running(&self, server: &ids::BackendServerId) -> u32 {
        let running = self.jobs.iter().filter(|job| {
            job.server == *server && job.starts_at <= self.now && self.now < job.ends_at
        });
        u32::try_from(running.count()).expect("few")
    }

    /// What a backend server sees: never more work than slots.
    fn check(&mut self) {
        if self.now < self.checked_from || self.excess.is_some() {
            return;
        }
        let over = self
            .servers
            .iter()
            .map(|(server, slots)| (server, slots, self.running(server)))
            .find(|(_, slots, running)| running > slots);
        let Some((server, slots, running)) = over else {
            return;
        };
        let seen = format!(
            "{}\n{running} run on {server} with {slots} slots at {:?}",
            self.describe(server),
            self.now
        );
        assert!(self.tolerates_excess, "{seen}");
        self.excess = Some(seen);
    }

    pub(crate) fn phase(&self, name: &str, number: usize) -> exchange::OwnerPhase {
        let server = server(number);
        self.instances[&id(name)]
            .slots
            .status(self.now)
            .find(|status| *status.server == server)
            .map(|status| status.phase)
            .expect("a known server")
    }

    /// Which instance lends the slots of a backend server now.
    pub(crate) fn owner(&self, number: usize) -> Option<ids::InstanceId> {
        let mut owners = self
            .instances
            .keys()
            .filter(|name| self.phase(name.as_str(), number) == exchange::OwnerPhase::Serving);
        let owner = owners.next().cloned();
        owner.filter(|_| owners.next().is_none())
    }
}
