//! The state of one history, and its events in order.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::iter;

use damaskvane_dispatch::fingerprint::Fingerprint;
use rand::SeedableRng;

use super::design::Design;
use super::event::{Event, Notice};
use super::harm::Harm;
use super::instance::Instance;
use super::load::Load;
use super::server::Server;
use super::{INSTANCES, SERVERS};

/// One history.
pub struct World {
    pub(super) design: Design,
    pub(super) load: Load,
    pub(super) rng: rand_pcg::Pcg64Mcg,
    pub(super) now_ms: u64,
    pub(super) last_event: u64,
    pub(super) last_copy: u64,
    pub(super) events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub(super) instances: Vec<Instance>,
    pub(super) servers: Vec<Server>,
    pub(super) notices: Vec<Notice>,
    pub(super) stored: BTreeSet<Fingerprint>,
    pub(super) store_down_until_ms: u64,
    pub(super) third_crash_ms: Option<u64>,
    pub(super) last_crash_ms: u64,
    pub(super) harm: Harm,
}

impl World {
    pub(super) fn new(design: Design, load: Load, seed: u64) -> Self {
        let mut world = Self {
            design,
            load,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            now_ms: 0,
            last_event: 0,
            last_copy: 0,
            events: BinaryHeap::new(),
            instances: iter::repeat_with(|| Instance::new(design.settings()))
                .take(INSTANCES)
                .collect(),
            servers: iter::repeat_with(Server::new).take(SERVERS).collect(),
            notices: Vec::new(),
            stored: BTreeSet::new(),
            store_down_until_ms: 0,
            third_crash_ms: None,
            last_crash_ms: 0,
            harm: Harm::default(),
        };
        world.schedule(3_000, Event::Arrive { is_crashing: true });
        world.schedule(10, Event::Arrive { is_crashing: false });
        if world.load.has_disturbances {
            world.schedule(2_000, Event::Disturb);
        }
        if world.load.has_failing_racks {
            world.schedule(5_000, Event::FailTogether);
        }
        world
    }

    pub(super) fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.last_event += 1;
        let entry = (self.now_ms + delay_ms, self.last_event, event);
        self.events.push(Reverse(entry));
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { is_crashing } => self.arrive(is_crashing),
            Event::Attempt(run) => self.attempt(run),
            Event::End { run, server } => self.end(run, server),
            Event::Crash { server } => self.crash(server),
            Event::CrashUnder { run, server } => self.crash_under(run, server),
            Event::Withdraw { run, server } => self.withdraw(run, server),
            Event::Prove { instance, server } => self.prove(instance, &server),
            Event::Deliver { instance, notice } => self.deliver(instance, notice),
            Event::Record {
                instance,
                fingerprint,
            } => self.record(instance, fingerprint),
            Event::Disturb => self.disturb(),
            Event::Heal => (0..INSTANCES).for_each(|instance| self.read_store(instance)),
            Event::RemoveOutdated => self.remove_outdated(),
            Event::FailTogether => self.fail_together(),
        }
    }
}
