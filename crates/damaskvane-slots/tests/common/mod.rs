//! A zone in virtual time: instances with membership and slots, the platform's list, and backend servers
//! that count what really runs on them.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time, units};
use damaskvane_membership::{heartbeat, record, settings as membership_settings, view};
use damaskvane_slots::{exchange, message, permit, settings};
use rand::{RngExt, SeedableRng};

pub(crate) const STEP_MS: u64 = 10;

/// Clients come to an instance that leaves for as long as they may use an old answer to a look-up.
const LOOKUP_TTL_MS: u64 = 2_000;

pub(crate) fn id(name: &str) -> ids::InstanceId {
    name.parse().expect("a valid name")
}

pub(crate) fn ms(ms: u64) -> time::SpanMs {
    time::SpanMs::new(ms)
}

pub(crate) fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

pub(crate) fn server(number: usize) -> ids::BackendServerId {
    format!("rider-desk-{number}")
        .parse()
        .expect("a valid name")
}

fn record(name: &ids::InstanceId, incarnation: u64) -> record::InstanceRecord {
    let address = "127.0.0.1:1".parse().expect("an address");
    record::InstanceRecord {
        instance: name.clone(),
        zone: "a".parse().expect("a valid zone"),
        region: "r".parse().expect("a valid region"),
        incarnation: ids::Incarnation::new(incarnation),
        client_address: address,
        peer_address: address,
        operator_address: address,
        leaving: false,
        fenced: false,
    }
}

/// Times short enough for many changes of owner in a run.
fn membership_settings() -> membership_settings::MembershipSettings {
    membership_settings::MembershipSettings {
        min_suspect_ms: ms(500),
        min_dead_ms: ms(1_000),
        unheard_trust_ms: ms(1_000),
        authority_ms: ms(4_000),
        list_lag_ms: ms(1_000),
        platform_lost_ms: ms(1_000),
        fence_after_ms: ms(500),
        pause_ms: ms(300),
        retry_ms: ms(300),
        ..membership_settings::MembershipSettings::default()
    }
}

pub(crate) fn slot_settings() -> settings::SlotSettings {
    settings::SlotSettings {
        lease_ms: ms(1_500),
        margin_ms: ms(200),
        unknown_ms: ms(5_000),
        ..settings::SlotSettings::default()
    }
}

#[derive(Clone)]
enum Wire {
    Heartbeat(heartbeat::Heartbeat),
    Slots(message::Addressed),
}

struct Flying {
    due: time::TimeMs,
    from: ids::InstanceId,
    incarnation: ids::Incarnation,
    to: ids::InstanceId,
    wire: Wire,
}

/// A request on its way to a backend server, or on its way back.
struct Job {
    starts_at: time::TimeMs,
    ends_at: time::TimeMs,
    answered_at: time::TimeMs,
    server: ids::BackendServerId,
    instance: ids::InstanceId,
    incarnation: u64,
    permit: Option<permit::Returned>,
}

pub(crate) struct Instance {
    pub(crate) incarnation: u64,
    pub(crate) membership: view::Membership,
    pub(crate) slots: exchange::SlotExchange,
    pub(crate) paused_until: time::TimeMs,
    pub(crate) left_at: Option<time::TimeMs>,
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
        };
        for name in instances {
            world.start(&id(name));
        }
        world
    }

    /// Starts an instance, or starts it again; it announces itself if it reaches the platform.
    pub(crate) fn start(&mut self, name: &ids::InstanceId) {
        let incarnation = self.incarnations.entry(name.clone()).or_default();
        *incarnation += 1;
        let incarnation = *incarnation;
        let own = view::Own::new(
            name.clone(),
            "a".parse().expect("a valid zone"),
            ids::Incarnation::new(incarnation),
        );
        let mut slots = exchange::SlotExchange::new(name.clone(), own.incarnation, slot_settings());
        let limits = self
            .servers
            .iter()
            .map(|(server, slots)| exchange::ServerSlots {
                server: server.clone(),
                slots: units::Slots::new(*slots),
            });
        slots.handle(self.now, exchange::Event::Servers(limits.collect()));
        let instance = Instance {
            incarnation,
            membership: view::Membership::new(own, membership_settings(), self.now),
            slots,
            paused_until: self.now,
            left_at: None,
        };
        self.instances.insert(name.clone(), instance);
        self.list.insert(name.clone(), record(name, incarnation));
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

    /// The process dies; what it has running goes on at the backend servers.
    pub(crate) fn kill(&mut self, name: &ids::InstanceId) {
        self.instances.remove(name);
    }

    pub(crate) fn leave(&mut self, name: &ids::InstanceId) {
        if let Some(instance) = self.instances.get_mut(name) {
            instance.left_at = Some(self.now);
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
        if self.now.get().is_multiple_of(300) {
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
        self.check();
    }

    fn is_running(&self, name: &ids::InstanceId) -> bool {
        self.instances
            .get(name)
            .is_some_and(|instance| instance.paused_until <= self.now)
    }

    fn tick(&mut self, name: &ids::InstanceId) {
        let has_platform = !self.without_platform.contains(name);
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

    fn request(&mut self, name: &ids::InstanceId, server: &ids::BackendServerId) {
        let now = self.now;
        let wanted_ms = self.random.random_range(50..1_200);
        let wanted = ms(if self.is_greedy { 5_000 } else { wanted_ms });
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let left_at = instance.left_at;
        if left_at.is_some_and(|left_at| now.since(left_at).get() >= LOOKUP_TTL_MS) {
            return;
        }
        let Ok(ready) = instance.slots.begin(now, server, wanted, ms(20)) else {
            let demand = exchange::Event::Demand {
                server: server.clone(),
                waiting: units::Slots::new(1),
            };
            self.slots(name, demand);
            return;
        };
        let incarnation = instance.incarnation;
        let sending = ready.send(now).expect("checked at the same time");
        let deadline = sending.deadline_ms();
        let running = sending.sent(now).expect("sent at the same time");
        // The way to the backend server is shorter than the margin; it counts the deadline from arrival.
        let starts_at = now + ms(self.random.random_range(0..100));
        let work_ms = self.random.random_range(10..900);
        let work = if self.is_greedy {
            deadline
        } else {
            ms(work_ms).min(deadline)
        };
        let ends_at = starts_at + work;
        self.started += 1;
        self.jobs.push(Job {
            starts_at,
            ends_at,
            answered_at: ends_at + ms(self.random.random_range(0..50)),
            server: server.clone(),
            instance: name.clone(),
            incarnation,
            permit: Some(running.into_returned()),
        });
        self.abandon_sometimes();
    }

    /// A client gives up: the instance no longer waits, the backend server works on.
    fn abandon_sometimes(&mut self) {
        if !self.random.random_ratio(1, 10) {
            return;
        }
        let Some(job) = self.jobs.last_mut() else {
            return;
        };
        let (name, permit) = (job.instance.clone(), job.permit.take());
        self.finish(&name, permit, exchange::Finish::MayStillRun);
    }

    fn answer(&mut self) {
        let now = self.now;
        let mut ended = Vec::new();
        for job in &mut self.jobs {
            let instance = self.instances.get(&job.instance);
            let is_running = instance.is_some_and(|instance| {
                instance.paused_until <= now && instance.incarnation == job.incarnation
            });
            if job.answered_at <= now && is_running {
                ended.push((job.instance.clone(), job.permit.take()));
            }
        }
        self.jobs
            .retain(|job| job.ends_at > now || job.permit.is_some());
        for (name, permit) in ended {
            self.finish(&name, permit, exchange::Finish::Ended);
        }
    }

    fn finish(
        &mut self,
        name: &ids::InstanceId,
        permit: Option<permit::Returned>,
        how: exchange::Finish,
    ) {
        let (Some(instance), Some(permit)) = (self.instances.get_mut(name), permit) else {
            return;
        };
        let actions = instance.slots.finish(self.now, &permit, how);
        self.perform_slots(name, actions);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let instances = &self.instances;
        let (due, later): (Vec<Flying>, Vec<Flying>) = self.flying.drain(..).partition(|message| {
            let to = instances.get(&message.to);
            message.due <= now && to.is_none_or(|to| to.paused_until <= now)
        });
        self.flying = later;
        for message in due {
            if self
                .cuts
                .contains(&(message.from.clone(), message.to.clone()))
            {
                continue;
            }
            let (from, incarnation) = (message.from, message.incarnation);
            match message.wire {
                Wire::Heartbeat(heartbeat) => {
                    let event = view::Event::Heartbeat {
                        from,
                        incarnation,
                        heartbeat,
                    };
                    self.membership(&message.to, event);
                }
                Wire::Slots(wire) => {
                    let event = exchange::Event::Message {
                        from,
                        incarnation,
                        message: wire,
                    };
                    self.slots(&message.to, event);
                }
            }
        }
    }

    fn fly(&mut self, from: &ids::InstanceId, to: ids::InstanceId, wire: Wire) {
        if self.random.random_range(0..1_000) < self.loss_permille {
            return;
        }
        let Some(instance) = self.instances.get(from) else {
            return;
        };
        self.flying.push(Flying {
            due: self.now + ms(self.random.random_range(0..=self.max_delay_ms)),
            from: from.clone(),
            incarnation: ids::Incarnation::new(instance.incarnation),
            to,
            wire,
        });
    }

    pub(crate) fn membership(&mut self, name: &ids::InstanceId, event: view::Event) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let actions = instance.membership.handle(self.now, event);
        let roster = instance.membership.roster();
        self.slots(name, exchange::Event::Roster(roster));
        for action in actions {
            self.perform_membership(name, action);
        }
    }

    fn perform_membership(&mut self, name: &ids::InstanceId, action: view::Action) {
        match action {
            view::Action::Send { to, heartbeat, .. } => {
                self.fly(name, to, Wire::Heartbeat(heartbeat));
            }
            view::Action::Probe {
                instance,
                incarnation,
                ..
            } => {
                let is_cut = self.is_cut(name, &instance) || self.is_cut(&instance, name);
                let outcome = match self.instances.contains_key(&instance) {
                    _ if is_cut => view::ProbeOutcome::Silent,
                    true => view::ProbeOutcome::Answered,
                    false => view::ProbeOutcome::Refused,
                };
                let event = view::Event::Probed {
                    instance,
                    incarnation,
                    outcome,
                };
                self.membership(name, event);
            }
            view::Action::Fence {
                instance,
                incarnation,
            } => self.fence(name, instance, incarnation),
            view::Action::Unmark {
                instance,
                incarnation,
            } if !self.without_platform.contains(name) => {
                let entry = self.list.get(&instance);
                if entry.is_some_and(|entry| entry.fenced && entry.incarnation == incarnation) {
                    self.list.remove(&instance);
                }
            }
            // A fenced process ends; its supervisor starts it again.
            view::Action::OwnFenced => {
                self.kill(&name.clone());
                self.start(&name.clone());
            }
            _ => {}
        }
    }

    fn is_cut(&self, from: &ids::InstanceId, to: &ids::InstanceId) -> bool {
        self.cuts.contains(&(from.clone(), to.clone()))
    }

    fn fence(
        &mut self,
        name: &ids::InstanceId,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
    ) {
        let is_reached = !self.without_platform.contains(name);
        let is_same = self
            .list
            .get(&instance)
            .is_some_and(|entry| entry.incarnation == incarnation);
        let event = if is_reached && is_same {
            if let Some(entry) = self.list.get_mut(&instance) {
                entry.fenced = true;
            }
            view::Event::Fenced {
                instance,
                incarnation,
            }
        } else {
            view::Event::FenceFailed { instance }
        };
        self.membership(name, event);
    }

    pub(crate) fn slots(&mut self, name: &ids::InstanceId, event: exchange::Event) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let actions = instance.slots.handle(self.now, event);
        self.perform_slots(name, actions);
    }

    fn perform_slots(&mut self, name: &ids::InstanceId, actions: Vec<exchange::Action>) {
        for action in actions {
            match action {
                exchange::Action::Send { to, message } => {
                    self.fly(name, to, Wire::Slots(message));
                }
                exchange::Action::Available { .. } => {}
                exchange::Action::Broken { invariant } => {
                    self.broken += 1;
                    assert!(self.broken == 0, "{invariant}");
                }
            }
        }
    }

    pub(crate) fn running(&self, server: &ids::BackendServerId) -> u32 {
        let running = self.jobs.iter().filter(|job| {
            job.server == *server && job.starts_at <= self.now && self.now < job.ends_at
        });
        u32::try_from(running.count()).expect("few")
    }

    /// What a backend server sees: never more work than slots.
    fn check(&self) {
        for (server, slots) in &self.servers {
            let running = self.running(server);
            assert!(
                running <= *slots,
                "{running} run on {server} with {slots} slots at {:?}",
                self.now
            );
        }
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
