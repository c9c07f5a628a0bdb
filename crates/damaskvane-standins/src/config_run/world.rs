//! The loop of a run: a queue of deliveries in virtual time.

use std::collections::BTreeMap;

use damaskvane_config::relay::Event;
use damaskvane_config::submit::{Call, StoreResponse};
use damaskvane_core::hash::ContentHash;
use damaskvane_core::{ids, time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config_run::fleet::Fleet;
use crate::config_run::operators::Operator;
use crate::config_run::report::{Broken, RunReport};
use crate::config_run::settings::RunSettings;
use crate::config_run::spans::Spans;
use crate::config_run::truth::Truth;
use crate::platform::Store;

const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 500;
const SECOND_MS: u64 = 1_000;

/// How long the fleet has to agree among itself while the store is still down.
const PEERS_MS: u64 = 30_000;

/// How long the fleet has to agree once all faults are healed: two polls of the store.
const HEAL_MS: u64 = 60_000;

/// What happens at one point in time.
#[derive(Debug)]
pub(super) enum Delivery {
    Instance(ids::InstanceId, u64, Event),
    AskHead(ids::InstanceId, ids::InstanceId),
    AskChunks(ids::InstanceId, ids::InstanceId, Vec<ContentHash>),
    AskStore(ids::InstanceId, Option<Vec<ContentHash>>),
    OperatorTurn(usize),
    OperatorCall(usize, Call),
    OperatorAnswer(usize, Call, StoreResponse),
    LateWrite(Call),
}

pub(super) struct World {
    pub(super) settings: RunSettings,
    pub(super) rng: Pcg64Mcg,
    pub(super) now: time::TimeMs,
    pub(super) queue: BTreeMap<(time::TimeMs, u64), Delivery>,
    pub(super) serial: u64,
    pub(super) store: Store,
    pub(super) store_down_until: time::TimeMs,
    pub(super) healed: bool,
    pub(super) fleet: Fleet,
    pub(super) operators: Vec<Operator>,
    pub(super) truth: Truth,
    /// The highest version that was in force everywhere at some time.
    settled: ids::ConfigVersion,
    pub(super) spans: Spans,
    pub(super) report: RunReport,
}

/// Runs operators and instances through faults, then heals and waits for agreement.
///
/// # Errors
///
/// What didn't hold, with the seed that shows it again.
pub fn run(settings: RunSettings) -> Result<RunReport, Broken> {
    let mut world = World::new(settings);
    match world.run() {
        Ok(()) => Ok(world.report),
        Err(what) => Err(Broken {
            seed: settings.seed,
            at_ms: world.now.get(),
            what,
        }),
    }
}

impl World {
    fn new(settings: RunSettings) -> Self {
        let fleet = Fleet::new(settings.zones, settings.instances_per_zone, settings.seed);
        Self {
            settings,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            now: time::TimeMs::ZERO,
            queue: BTreeMap::new(),
            serial: 0,
            store: Store::default(),
            store_down_until: time::TimeMs::ZERO,
            healed: false,
            fleet,
            operators: (0..settings.operators).map(Operator::new).collect(),
            truth: Truth::default(),
            settled: ids::ConfigVersion::new(0),
            spans: Spans::default(),
            report: RunReport {
                seed: settings.seed,
                ..RunReport::default()
            },
        }
    }

    fn run(&mut self) -> Result<(), String> {
        self.change_views();
        for operator in 0..self.operators.len() {
            self.later(0, Delivery::OperatorTurn(operator));
        }
        let faulty_ms = self.settings.seconds * SECOND_MS;
        if let Some(from_s) = self.settings.store_down_from_s {
            self.run_until(from_s * SECOND_MS)?;
            self.store_down_until = time::TimeMs::new(faulty_ms);
        }
        self.run_until(faulty_ms)?;
        self.heal_all_but_store();
        self.run_until(faulty_ms + PEERS_MS)?;
        self.check_peers()?;
        self.store_down_until = time::TimeMs::ZERO;
        self.run_until(faulty_ms + PEERS_MS + HEAL_MS)?;
        self.check_end()
    }

    fn run_until(&mut self, end_ms: u64) -> Result<(), String> {
        while self.now.get() < end_ms {
            self.tick()?;
            let next = self.now + time::SpanMs::new(TICK_MS);
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 >= next {
                    break;
                }
                self.now = self.now.max(entry.key().0);
                let delivery = entry.remove();
                self.deliver(delivery)?;
            }
            self.now = next;
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), String> {
        let ids: Vec<_> = self.fleet.instances.keys().cloned().collect();
        let heartbeat = self.now.get().is_multiple_of(HEARTBEAT_MS);
        for id in &ids {
            self.handle(id, Event::Tick)?;
            if heartbeat {
                self.send_heartbeats(id);
            }
        }
        let lowest = self.fleet.versions().first().copied();
        self.settled = self.settled.max(lowest.unwrap_or_default());
        if self.now.get().is_multiple_of(SECOND_MS) && !self.healed {
            self.incidents();
        }
        let healed_at_ms = self.settings.seconds * SECOND_MS + PEERS_MS;
        if self.report.healed_ms == 0 && self.now.get() >= healed_at_ms && self.agrees() {
            self.report.healed_ms = self.now.get() - healed_at_ms;
        }
        Ok(())
    }

    fn deliver(&mut self, delivery: Delivery) -> Result<(), String> {
        match delivery {
            Delivery::Instance(id, incarnation, event) => {
                let current = self.fleet.instances.get(&id);
                if current.is_some_and(|instance| instance.incarnation == incarnation) {
                    self.handle(&id, event)?;
                }
            }
            Delivery::AskHead(from, to) => self.answer_head(&from, &to),
            Delivery::AskChunks(from, to, hashes) => self.answer_chunks(&from, &to, &hashes),
            Delivery::AskStore(id, hashes) => self.answer_from_store(&id, hashes),
            Delivery::OperatorTurn(operator) => self.operator_turn(operator)?,
            Delivery::OperatorCall(operator, call) => {
                let answer = self.store_call(&call)?;
                let delay_ms = self.rng.random_range(2..40);
                self.later(delay_ms, Delivery::OperatorAnswer(operator, call, answer));
            }
            Delivery::OperatorAnswer(operator, call, answer) => {
                self.operators[operator].answer(&call, answer);
                self.operator_turn(operator)?;
            }
            Delivery::LateWrite(call) => {
                self.report.late_writes += 1;
                self.apply(&call)?;
            }
        }
        Ok(())
    }

    pub(super) fn handle(&mut self, id: &ids::InstanceId, event: Event) -> Result<(), String> {
        let now = self.now;
        let Some(instance) = self.fleet.instances.get_mut(id) else {
            return Ok(());
        };
        if now < instance.paused_until {
            // What arrives during a pause is read when the process runs again.
            let wait_ms = instance.paused_until.since(now).get();
            let incarnation = instance.incarnation;
            if event != Event::Tick {
                self.later(wait_ms, Delivery::Instance(id.clone(), incarnation, event));
            }
            return Ok(());
        }
        let actions = instance.relay.handle(now, event);
        let version = instance.relay.applier().version();
        if version < instance.highest {
            return Err(format!("{id} fell from {} to {version}", instance.highest));
        }
        // A new instance takes the newest head; that is a boot, not a change that is late.
        if version > instance.highest && instance.highest.get() > 0 {
            self.spans.adopt(instance.highest, version, now);
        }
        instance.highest = version;
        let counts = instance.relay.applier().counts();
        if counts.unsafe_switches + counts.state_mismatches > 0 {
            return Err(format!("{id} counts {counts:?}"));
        }
        if let Some(active_config) = instance.relay.applier().active_config() {
            self.truth.check_in_force(active_config)?;
        }
        for action in actions {
            self.act(id, action);
        }
        Ok(())
    }

    fn incidents(&mut self) {
        let ids: Vec<_> = self.fleet.instances.keys().cloned().collect();
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        let until = self.now + time::SpanMs::new(self.rng.random_range(500..20_000));
        if self.chance(self.settings.incident_permille) {
            self.store_down_until = self.store_down_until.max(until);
        }
        if self.chance(self.settings.incident_permille)
            && let Some(zone) = self.fleet.zone_of(&id).cloned()
        {
            self.fleet.cut(&zone, until);
        }
        if self.chance(self.settings.incident_permille)
            && let Some(instance) = self.fleet.instances.get_mut(&id)
        {
            instance.paused_until = until;
        }
        if self.chance(self.settings.incident_permille)
            && let Some(instance) = self.fleet.instances.get(&id)
        {
            let member = instance.member.clone();
            self.fleet.boot(member);
            self.report.replaced += 1;
            self.change_views();
        }
    }

    /// Ends every fault but an outage of the store, so that instances have only each other.
    fn heal_all_but_store(&mut self) {
        self.healed = true;
        self.store_down_until = self.now + time::SpanMs::new(PEERS_MS);
        self.fleet.heal();
        self.settings = self.settings.without_faults();
    }

    /// Whoever was cut off, paused or replaced must have caught up from whoever is ahead.
    fn check_peers(&self) -> Result<(), String> {
        let versions = self.fleet.versions();
        // During a long outage every instance may be replaced; what was in force everywhere must
        // outlive them all.
        let is_kept = versions.first() >= Some(&self.settled);
        if versions.first() == versions.last() && is_kept {
            return Ok(());
        }
        Err(format!("without the store, instances stay at {versions:?}"))
    }

    fn check_end(&mut self) -> Result<(), String> {
        self.report.instances = self.fleet.instances.len();
        self.report.accepted = self.truth.accepted();
        self.spans.report(&mut self.report);
        if !self.agrees() {
            return Err("the newest ticket is not in force everywhere".to_owned());
        }
        self.truth.check_told()?;
        let filed = |number: ids::TicketNumber| {
            let object = self.store.read("ticket", &number.to_string(), false)?;
            Some(ContentHash::of(&object.value?))
        };
        self.truth.check_filed(filed)
    }

    fn agrees(&self) -> bool {
        let newest = self.truth.newest().version;
        let mut instances = self.fleet.instances.values();
        instances.all(|instance| instance.relay.applier().version() == newest)
    }

    fn change_views(&mut self) {
        let ids: Vec<_> = self.fleet.instances.keys().cloned().collect();
        for id in ids {
            let event = Event::Membership(self.fleet.view_of(&id));
            self.deliver_soon(&id, event);
        }
    }

    pub(super) fn incarnation(&self, id: &ids::InstanceId) -> Option<u64> {
        Some(self.fleet.instances.get(id)?.incarnation)
    }

    pub(super) fn is_store_down(&self) -> bool {
        self.now < self.store_down_until
    }

    pub(super) fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    /// A delay on the way between zones or to the store.
    pub(super) fn far_ms(&mut self) -> u64 {
        let settings = self.settings;
        self.rng
            .random_range(settings.min_delay_ms..=settings.max_delay_ms)
    }

    pub(super) fn later(&mut self, delay_ms: u64, delivery: Delivery) {
        self.serial += 1;
        let at = self.now + time::SpanMs::new(delay_ms);
        self.queue.insert((at, self.serial), delivery);
    }
}
