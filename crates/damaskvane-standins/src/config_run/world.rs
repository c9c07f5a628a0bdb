//! The event loop of a run: a queue of events in virtual time.

use std::collections::BTreeMap;

use damaskvane_config::relay::Event;
use damaskvane_config::submit::{Call, StoreResponse};
use damaskvane_core::hash::ContentHash;
use damaskvane_core::{ids, time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config_run::activation_times::ActivationTimes;
use crate::config_run::fleet::Fleet;
use crate::config_run::operators::Operator;
use crate::config_run::oracle::Oracle;
use crate::config_run::report::{InvariantViolation, RunReport};
use crate::config_run::settings::RunSettings;
use crate::platform::Store;

const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 500;
const SECOND_MS: u64 = 1_000;

/// The time in which instances must converge from each other while the store is still down.
const PEER_RECOVERY_MS: u64 = 30_000;

/// The time in which instances must converge after all faults have ended: two polls of the store.
const RECOVERY_MS: u64 = 60_000;

/// An event at one point in virtual time.
#[derive(Debug)]
pub(super) enum Delivery {
    Instance(ids::InstanceId, u64, Event),
    RequestHead(ids::InstanceId, ids::InstanceId),
    RequestChunks(ids::InstanceId, ids::InstanceId, Vec<ContentHash>),
    ReadStore(ids::InstanceId, Option<Vec<ContentHash>>),
    OperatorTurn(usize),
    OperatorCall(usize, Call),
    OperatorResponse(usize, Call, StoreResponse),
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
    pub(super) oracle: Oracle,
    /// The highest version that all instances have reached at the same time.
    max_common_version: ids::ConfigVersion,
    pub(super) activation_times: ActivationTimes,
    pub(super) report: RunReport,
}

/// Runs operators and instances with faults, ends all faults and checks that the instances converge.
///
/// # Errors
///
/// Returns the first violated invariant, with the seed that reproduces the violation.
pub fn run(settings: RunSettings) -> Result<RunReport, InvariantViolation> {
    let mut world = World::new(settings);
    match world.run() {
        Ok(()) => Ok(world.report),
        Err(violation) => Err(InvariantViolation {
            seed: settings.seed,
            at_ms: world.now.get(),
            violation,
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
            oracle: Oracle::default(),
            max_common_version: ids::ConfigVersion::new(0),
            activation_times: ActivationTimes::default(),
            report: RunReport {
                seed: settings.seed,
                ..RunReport::default()
            },
        }
    }

    fn run(&mut self) -> Result<(), String> {
        self.send_membership();
        for operator in 0..self.operators.len() {
            self.schedule(0, Delivery::OperatorTurn(operator));
        }
        let faulty_ms = self.settings.seconds * SECOND_MS;
        if let Some(from_s) = self.settings.store_down_from_s {
            self.run_until(from_s * SECOND_MS)?;
            self.store_down_until = time::TimeMs::new(faulty_ms);
        }
        self.run_until(faulty_ms)?;
        self.heal_all_but_store();
        self.run_until(faulty_ms + PEER_RECOVERY_MS)?;
        self.check_peer_recovery()?;
        self.store_down_until = time::TimeMs::ZERO;
        self.run_until(faulty_ms + PEER_RECOVERY_MS + RECOVERY_MS)?;
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
        self.max_common_version = self.max_common_version.max(lowest.unwrap_or_default());
        if self.now.get().is_multiple_of(SECOND_MS) && !self.healed {
            self.inject_incidents();
        }
        let healed_at_ms = self.settings.seconds * SECOND_MS + PEER_RECOVERY_MS;
        if self.report.healed_ms == 0 && self.now.get() >= healed_at_ms && self.all_up_to_date() {
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
            Delivery::RequestHead(from, to) => self.respond_head(&from, &to),
            Delivery::RequestChunks(from, to, hashes) => self.respond_chunks(&from, &to, &hashes),
            Delivery::ReadStore(id, hashes) => self.respond_from_store(&id, hashes),
            Delivery::OperatorTurn(operator) => self.operator_turn(operator)?,
            Delivery::OperatorCall(operator, call) => {
                let response = self.store_call(&call)?;
                let delay_ms = self.rng.random_range(2..40);
                self.schedule(
                    delay_ms,
                    Delivery::OperatorResponse(operator, call, response),
                );
            }
            Delivery::OperatorResponse(operator, call, response) => {
                self.operators[operator].handle_response(&call, response);
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
            // An event that arrives during a pause is handled when the process resumes.
            let wait_ms = instance.paused_until.since(now).get();
            let incarnation = instance.incarnation;
            if event != Event::Tick {
                self.schedule(wait_ms, Delivery::Instance(id.clone(), incarnation, event));
            }
            return Ok(());
        }
        let actions = instance.relay.handle(now, event);
        let version = instance.relay.applier().version();
        if version < instance.max_version {
            return Err(format!(
                "{id} went back from version {} to {version}",
                instance.max_version
            ));
        }
        // A new instance activates the newest head at once, which is no delayed activation.
        if version > instance.max_version && instance.max_version.get() > 0 {
            self.activation_times
                .record_activation(instance.max_version, version, now);
        }
        instance.max_version = version;
        let counts = instance.relay.applier().counts();
        if counts.unsafe_switches + counts.state_mismatches > 0 {
            return Err(format!(
                "{id} counted an unsafe switch or a state mismatch: {counts:?}"
            ));
        }
        if let Some(active_config) = instance.relay.applier().active_config() {
            self.oracle.check_active_config(active_config)?;
        }
        for action in actions {
            self.perform(id, action);
        }
        Ok(())
    }

    fn inject_incidents(&mut self) {
        let ids: Vec<_> = self.fleet.instances.keys().cloned().collect();
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        let until = self.now + time::SpanMs::new(self.rng.random_range(500..20_000));
        if self.chance(self.settings.incident_permille) {
            self.store_down_until = self.store_down_until.max(until);
        }
        if self.chance(self.settings.incident_permille)
            && let Some(zone) = self.fleet.zone_of(&id).cloned()
        {
            self.fleet.partition(&zone, until);
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
            self.send_membership();
        }
    }

    /// Ends every fault and starts a store outage, so that instances can get the configuration only from each other.
    fn heal_all_but_store(&mut self) {
        self.healed = true;
        self.store_down_until = self.now + time::SpanMs::new(PEER_RECOVERY_MS);
        self.fleet.heal();
        self.settings = self.settings.without_faults();
    }

    /// Checks that instances that were partitioned, paused or replaced have caught up from the others.
    fn check_peer_recovery(&self) -> Result<(), String> {
        let versions = self.fleet.versions();
        // During a long outage every instance may be replaced. A version that was active on all
        // instances must survive these replacements.
        let is_retained = versions.first() >= Some(&self.max_common_version);
        if versions.first() == versions.last() && is_retained {
            return Ok(());
        }
        Err(format!(
            "without the store, instances remain at versions {versions:?}"
        ))
    }

    fn check_end(&mut self) -> Result<(), String> {
        self.report.instances = self.fleet.instances.len();
        self.report.accepted = self.oracle.accepted();
        self.activation_times.summarize(&mut self.report);
        if !self.all_up_to_date() {
            return Err("the newest ticket is not active on every instance".to_owned());
        }
        self.oracle.check_outcomes()?;
        let stored_hash = |number: ids::TicketNumber| {
            let object = self.store.read("ticket", &number.to_string(), false)?;
            Some(ContentHash::of(&object.value?))
        };
        self.oracle.check_history(stored_hash)
    }

    fn all_up_to_date(&self) -> bool {
        let newest_version = self.oracle.newest().version;
        let mut instances = self.fleet.instances.values();
        instances.all(|instance| instance.relay.applier().version() == newest_version)
    }

    fn send_membership(&mut self) {
        let ids: Vec<_> = self.fleet.instances.keys().cloned().collect();
        for id in ids {
            let event = Event::Membership(self.fleet.view_of(&id));
            self.deliver_event(&id, event);
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

    /// Returns a random delay of a message between zones or of a store call, in milliseconds.
    pub(super) fn remote_delay_ms(&mut self) -> u64 {
        let settings = self.settings;
        self.rng
            .random_range(settings.min_delay_ms..=settings.max_delay_ms)
    }

    pub(super) fn schedule(&mut self, delay_ms: u64, delivery: Delivery) {
        self.serial += 1;
        let at = self.now + time::SpanMs::new(delay_ms);
        self.queue.insert((at, self.serial), delivery);
    }
}
