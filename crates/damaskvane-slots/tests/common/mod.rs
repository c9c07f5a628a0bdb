//! Simulation of one zone in virtual time: instances with membership and slots, the platform's list of
//! instances, and backend servers that count the requests that really run on them.
//!
//! A slot is the right to run one request on a backend server. A permit reserves a slot for one request.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod availability;
mod digest;
pub(crate) mod disturbance;
pub(crate) mod faults;
mod messages;
pub(crate) mod obstacle;
pub(crate) mod outage;
pub(crate) mod parties;
mod requests;
pub(crate) mod roles;
pub(crate) mod runs;
pub(crate) mod script;
mod setup;
pub(crate) mod trace;
mod wait;

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time, units};
use damaskvane_membership::{heartbeat, record, view};
use damaskvane_slots::{exchange, message, permit};
use rand::{RngExt, SeedableRng};
pub(crate) use setup::{STARTING_MS, at, id, ms, server, slot_settings};

pub(crate) const STEP_MS: u64 = 10;

/// Time for which clients send requests to an instance after its planned stop has begun, since they may use an old
/// lookup response.
const LOOKUP_TTL_MS: u64 = 2_000;

#[derive(Debug, Clone)]
enum Payload {
    Heartbeat(heartbeat::Heartbeat),
    Slots(message::AddressedMessage),
    List(view::PassedList),
    ListRequest,
}

#[derive(Debug)]
struct InFlightMessage {
    due: time::TimeMs,
    from: ids::InstanceId,
    incarnation: ids::Incarnation,
    to: ids::InstanceId,
    payload: Payload,
}

/// A request that an instance has sent under a permit and whose response has not arrived at the instance.
#[derive(Debug)]
struct BackendRequest {
    starts_at: time::TimeMs,
    ends_at: time::TimeMs,
    response_at: time::TimeMs,
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
    /// Whether the instance's record was written to the platform's list.
    is_announced: bool,
}

pub(crate) struct SimulatedZone {
    pub(crate) now: time::TimeMs,
    pub(crate) random: rand_pcg::Pcg32,
    pub(crate) instances: BTreeMap<ids::InstanceId, Instance>,
    pub(crate) servers: BTreeMap<ids::BackendServerId, u32>,
    /// The platform's list as it was last written.
    pub(crate) list: BTreeMap<ids::InstanceId, record::InstanceRecord>,
    /// The list that the platform returns to readers, at most `list_every_ms` old.
    visible_list: Vec<record::InstanceRecord>,
    incarnations: BTreeMap<ids::InstanceId, u64>,
    /// Pairs (from, to) between which no message arrives.
    pub(crate) cuts: BTreeSet<(ids::InstanceId, ids::InstanceId)>,
    /// Instances that can't reach the platform.
    pub(crate) without_platform: BTreeSet<ids::InstanceId>,
    pub(crate) loss_permille: u32,
    pub(crate) max_delay_ms: u64,
    /// Percentage of time steps in which each instance gets a request for each backend server.
    pub(crate) demand_percent: u32,
    /// Whether each request runs until its deadline on the backend server, and not for a random time.
    pub(crate) uses_full_deadline: bool,
    in_flight: Vec<InFlightMessage>,
    requests: Vec<BackendRequest>,
    /// Number of requests that were sent to backend servers.
    pub(crate) started: u64,
    /// Number of messages that instances sent to each other and that were not lost.
    pub(crate) sent_messages: u64,
    /// Number of broken invariants that the slot exchanges reported.
    pub(crate) broken: u64,
    pub(crate) trace: trace::Trace,
    /// Time between two updates of the list that the platform returns to readers.
    pub(crate) list_every_ms: u64,
    /// Whether an instance reads its own record before it fences another one, as the daemon does.
    pub(crate) reads_own_record: bool,
    /// Time after its start for which an instance that is started from now on owns nothing beside older ones.
    pub(crate) starting_ms: u64,
    /// Whether a fence deletes the entry of the fenced instance and leaves no fence record.
    pub(crate) deletes_fenced_entries: bool,
    /// Description of the first server that ran more requests than its slots, if `tolerates_excess` is set.
    pub(crate) excess: Option<String>,
    /// Whether the run continues after a server ran more requests than its slots, instead of a panic.
    pub(crate) tolerates_excess: bool,
    /// Time from which the number of running requests is checked, after the number of slots was lowered.
    checked_from: time::TimeMs,
    /// Whether a cut also holds between two instances of which one can't reach the platform and does not know the
    /// other.
    pub(crate) allows_cuts_before_discovery: bool,
    pub(crate) faults: faults::Faults,
    /// Accounting of the time in which slots are granted; `None` if a test does not need it.
    pub(crate) availability: Option<availability::Availability>,
}

impl SimulatedZone {
    pub(crate) fn new(seed: u64, instances: &[&str], slots: &[u32]) -> Self {
        let mut zone = Self {
            now: at(1_000),
            random: rand_pcg::Pcg32::seed_from_u64(seed),
            instances: BTreeMap::new(),
            servers: slots
                .iter()
                .enumerate()
                .map(|(number, slots)| (server(number), *slots))
                .collect(),
            list: BTreeMap::new(),
            visible_list: Vec::new(),
            incarnations: BTreeMap::new(),
            cuts: BTreeSet::new(),
            without_platform: BTreeSet::new(),
            loss_permille: 0,
            max_delay_ms: 5,
            demand_percent: 20,
            uses_full_deadline: false,
            in_flight: Vec::new(),
            requests: Vec::new(),
            started: 0,
            sent_messages: 0,
            broken: 0,
            trace: trace::Trace::default(),
            list_every_ms: 300,
            reads_own_record: true,
            starting_ms: STARTING_MS,
            deletes_fenced_entries: false,
            excess: None,
            tolerates_excess: false,
            checked_from: time::TimeMs::ZERO,
            allows_cuts_before_discovery: true,
            faults: faults::Faults::default(),
            availability: None,
        };
        for name in instances {
            zone.start(&id(name));
        }
        zone
    }

    /// Returns a zone under full load, with requests that run until their deadlines and an owner for each server.
    pub(crate) fn under_full_load(instances: &[&str], slots: &[u32]) -> Self {
        let mut zone = Self::new(1, instances, slots);
        zone.uses_full_deadline = true;
        zone.demand_percent = 100;
        zone.run(8_000);
        for number in 0..slots.len() {
            assert!(zone.owner(number).is_some(), "server {number} has no owner");
        }
        zone
    }

    /// Starts an instance under its next incarnation (number of the start), and writes its record to the platform's
    /// list if it reaches the platform.
    pub(crate) fn start(&mut self, name: &ids::InstanceId) {
        let incarnation = self.incarnations.entry(name.clone()).or_default();
        *incarnation += 1;
        let incarnation = *incarnation;
        let own = view::OwnInstance::new(
            name.clone(),
            "a".parse().expect("a valid zone"),
            ids::Incarnation::new(incarnation),
        );
        let local = self.local_time(name);
        let mut slots = exchange::SlotExchange::new(name.clone(), own.incarnation, slot_settings());
        slots.handle(local, exchange::Event::Servers(self.limits()));
        let instance = Instance {
            incarnation,
            membership: view::Membership::new(
                own,
                setup::membership_settings(self.starting_ms),
                local,
            ),
            slots,
            paused_until: self.now,
            left_at: None,
            is_announced: false,
        };
        self.instances.insert(name.clone(), instance);
        let started = trace::TraceEvent::Started(name.clone(), incarnation);
        self.trace.record_event(self.now, started);
        self.announce(name);
    }

    /// Writes the instance's record to the list, once, as soon as the instance reaches the platform.
    fn announce(&mut self, name: &ids::InstanceId) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let is_cut_off = self.without_platform.contains(name);
        if instance.is_announced || is_cut_off || self.faults.unregistered.contains(name) {
            return;
        }
        instance.is_announced = true;
        let record = setup::record(name, instance.incarnation);
        self.list.insert(name.clone(), record);
    }

    /// Changes the number of slots of all backend servers; running requests may take the time of one lease to end.
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

    /// Ends the process at once; its running requests continue on the backend servers.
    pub(crate) fn kill(&mut self, name: &ids::InstanceId) {
        if self.instances.remove(name).is_some() {
            self.trace
                .record_event(self.now, trace::TraceEvent::Died(name.clone()));
        }
    }

    pub(crate) fn leave(&mut self, name: &ids::InstanceId) {
        if let Some(instance) = self.instances.get_mut(name) {
            instance.left_at = Some(self.now);
            self.trace
                .record_event(self.now, trace::TraceEvent::StopPlanned(name.clone()));
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
            self.visible_list = self.list.values().cloned().collect();
        }
        self.deliver();
        self.run_pending_fences();
        self.deliver_responses();
        let names: Vec<ids::InstanceId> = self.instances.keys().cloned().collect();
        for name in names {
            if self.is_running(&name) {
                self.tick(&name);
            }
        }
        self.trace_phases();
        self.check();
        self.observe_availability();
    }

    fn observe_availability(&mut self) {
        if let Some(mut availability) = self.availability.take() {
            availability.observe(self);
            self.availability = Some(availability);
        }
    }

    fn is_running(&self, name: &ids::InstanceId) -> bool {
        self.instances
            .get(name)
            .is_some_and(|instance| instance.paused_until <= self.now)
    }

    fn tick(&mut self, name: &ids::InstanceId) {
        let has_platform = !self.without_platform.contains(name);
        self.announce(name);
        if self.now.get().is_multiple_of(500) {
            self.read_list_from_seeds(name);
        }
        if self.now.get().is_multiple_of(500) && has_platform {
            let event = view::Event::List {
                records: self.visible_list.clone(),
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
        let now = self.local_time(name);
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
        let running = self.requests.iter().filter(|request| {
            request.server == *server && request.starts_at <= self.now && self.now < request.ends_at
        });
        u32::try_from(running.count()).expect("few")
    }

    /// Checks that no backend server runs more requests than it has slots.
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
            "{}\n{running} requests run on {server} with {slots} slots at {:?}",
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

    /// Returns the only instance that grants the slots of a backend server now, or `None` if none or several do.
    pub(crate) fn owner(&self, number: usize) -> Option<ids::InstanceId> {
        let mut owners = self
            .instances
            .keys()
            .filter(|name| self.phase(name.as_str(), number) == exchange::OwnerPhase::Serving);
        let owner = owners.next().cloned();
        owner.filter(|_| owners.next().is_none())
    }
}
