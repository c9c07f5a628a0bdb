//! The loop of a run: a queue of deliveries in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;

use damaskvane_config::relay::{Action, Event, Source};
use damaskvane_config::submit::{Answer, Call};
use damaskvane_core::hash::ContentHash;
use damaskvane_core::{ids, time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config_run::fleet::Fleet;
use crate::config_run::operators::{Move, Operator};
use crate::config_run::report::{Broken, RunReport};
use crate::config_run::settings::RunSettings;
use crate::config_run::truth::Truth;
use crate::platform::{Store, WriteOutcome};

const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 500;
const SECOND_MS: u64 = 1_000;

/// How long the fleet has to agree once all faults are healed: two polls of the store.
const HEAL_MS: u64 = 60_000;

/// What happens at one point in time.
#[derive(Debug)]
enum Delivery {
    Instance(ids::InstanceId, u64, Event),
    AskHead(ids::InstanceId, ids::InstanceId),
    AskChunks(ids::InstanceId, ids::InstanceId, Vec<ContentHash>),
    AskStore(ids::InstanceId, Option<Vec<ContentHash>>),
    OperatorTurn(usize),
    OperatorCall(usize, Call),
    OperatorAnswer(usize, Call, Answer),
    LateWrite(Call),
}

struct World {
    settings: RunSettings,
    rng: Pcg64Mcg,
    now: time::TimeMs,
    queue: BTreeMap<(time::TimeMs, u64), Delivery>,
    serial: u64,
    store: Store,
    store_down_until: time::TimeMs,
    healed: bool,
    fleet: Fleet,
    operators: Vec<Operator>,
    truth: Truth,
    report: RunReport,
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
        self.run_until(self.settings.seconds * SECOND_MS)?;
        self.heal();
        let healed_at = self.now;
        self.run_until(healed_at.get() + HEAL_MS)?;
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
        if self.now.get().is_multiple_of(SECOND_MS) && !self.healed {
            self.incidents();
        }
        if self.healed && self.report.healed_ms == 0 && self.agrees() {
            self.report.healed_ms = self.now.get() - self.settings.seconds * SECOND_MS;
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
            Delivery::OperatorTurn(operator) => self.operator_turn(operator),
            Delivery::OperatorCall(operator, call) => {
                let answer = self.store_call(&call)?;
                let delay_ms = self.rng.random_range(2..40);
                self.later(delay_ms, Delivery::OperatorAnswer(operator, call, answer));
            }
            Delivery::OperatorAnswer(operator, call, answer) => {
                self.operators[operator].answer(&call, answer);
                self.operator_turn(operator);
            }
            Delivery::LateWrite(call) => {
                self.report.late_writes += 1;
                self.apply(&call)?;
            }
        }
        Ok(())
    }

    fn handle(&mut self, id: &ids::InstanceId, event: Event) -> Result<(), String> {
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
        let version = instance.relay.adopter().version();
        if version < instance.highest {
            return Err(format!("{id} fell from {} to {version}", instance.highest));
        }
        instance.highest = version;
        let counts = instance.relay.adopter().counts();
        if counts.unsafe_switches + counts.split_states > 0 {
            return Err(format!("{id} counts {counts:?}"));
        }
        if let Some(in_force) = instance.relay.adopter().in_force() {
            self.truth.check_in_force(in_force)?;
        }
        for action in actions {
            self.act(id, action);
        }
        Ok(())
    }

    fn act(&mut self, id: &ids::InstanceId, action: Action) {
        match action {
            Action::Announce {
                to,
                version,
                state_hash,
            } => self.send_version(id, &to, version, state_hash),
            Action::FetchHead {
                from: Source::Peer(peer),
            } => self.send(id, &peer.clone(), Delivery::AskHead(peer, id.clone())),
            Action::FetchChunks {
                from: Source::Peer(peer),
                hashes,
            } => self.send(
                id,
                &peer.clone(),
                Delivery::AskChunks(peer, id.clone(), hashes),
            ),
            Action::FetchHead { .. } => self.ask_store(id, None),
            Action::FetchChunks { hashes, .. } => self.ask_store(id, Some(hashes)),
            Action::WatchStore | Action::StopWatching | Action::InForce { .. } => {}
        }
    }

    fn send_version(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        version: ids::ConfigVersion,
        state_hash: ContentHash,
    ) {
        let event = Event::Heard {
            from: from.clone(),
            version,
            state_hash: Some(state_hash),
        };
        self.send_event(from, to, event);
    }

    fn send_event(&mut self, from: &ids::InstanceId, to: &ids::InstanceId, event: Event) {
        if let Some(incarnation) = self.incarnation(to) {
            self.send(from, to, Delivery::Instance(to.clone(), incarnation, event));
        }
    }

    fn send(&mut self, from: &ids::InstanceId, to: &ids::InstanceId, delivery: Delivery) {
        self.report.messages += 1;
        let lost = self.chance(self.settings.message_loss_permille);
        if lost || !self.fleet.is_connected(from, to, self.now) {
            return;
        }
        let delay_ms = self.rng.random_range(1..60);
        self.later(delay_ms, delivery);
    }

    fn send_heartbeats(&mut self, id: &ids::InstanceId) {
        let Some(instance) = self.fleet.instances.get(id) else {
            return;
        };
        if self.now < instance.paused_until {
            return;
        }
        let Some(in_force) = instance.relay.adopter().in_force().cloned() else {
            return;
        };
        let all: Vec<_> = self.fleet.instances.keys().cloned().collect();
        let stranger = self.rng.random_range(0..all.len());
        let zone = self.fleet.zone_of(id).cloned();
        for (index, to) in all.iter().enumerate() {
            let near = self.fleet.zone_of(to) == zone.as_ref();
            if to != id && (near || index == stranger) {
                self.send_version(id, to, in_force.version(), in_force.state_hash());
            }
        }
    }

    fn answer_head(&mut self, from: &ids::InstanceId, to: &ids::InstanceId) {
        let Some(instance) = self.fleet.instances.get(from) else {
            return;
        };
        let from_peer = Source::Peer(from.clone());
        let event = match instance.relay.adopter().in_force() {
            Some(in_force) if self.now >= instance.paused_until => Event::Head {
                from: from_peer,
                bytes: in_force.head_bytes(),
            },
            Some(_) => return,
            None => Event::FetchFailed { from: from_peer },
        };
        self.send_event(from, to, event);
    }

    fn answer_chunks(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
        hashes: &[ContentHash],
    ) {
        let Some(instance) = self.fleet.instances.get(from) else {
            return;
        };
        let Some(in_force) = instance.relay.adopter().in_force().cloned() else {
            return;
        };
        let chunks = hashes.iter().filter_map(|hash| in_force.chunk(hash));
        let chunks: Vec<_> = chunks.collect();
        let chunks = chunks.into_iter().map(|chunk| self.corrupted(chunk));
        let event = Event::Chunks {
            from: Source::Peer(from.clone()),
            chunks: chunks.collect(),
        };
        self.send_event(from, to, event);
    }

    fn corrupted(&mut self, chunk: Arc<[u8]>) -> Arc<[u8]> {
        if !self.chance(self.settings.corrupt_permille) || chunk.is_empty() {
            return chunk;
        }
        let mut bytes = chunk.to_vec();
        let index = self.rng.random_range(0..bytes.len());
        bytes[index] ^= 1;
        bytes.into()
    }

    fn ask_store(&mut self, id: &ids::InstanceId, hashes: Option<Vec<ContentHash>>) {
        self.report.instance_store_calls += hashes.as_ref().map_or(1, Vec::len) as u64;
        let cut = self
            .fleet
            .zone_of(id)
            .is_none_or(|zone| self.fleet.is_cut(zone, self.now));
        if cut || self.chance(self.settings.lost_before_permille) {
            return;
        }
        let delay_ms = self.rng.random_range(2..60);
        self.later(delay_ms, Delivery::AskStore(id.clone(), hashes));
    }

    fn answer_from_store(&mut self, id: &ids::InstanceId, hashes: Option<Vec<ContentHash>>) {
        let from = Source::Store;
        let event = if self.is_store_down() {
            Event::FetchFailed { from }
        } else if let Some(hashes) = hashes {
            let read = |hash: &ContentHash| self.store.read("chunk", &hash.to_string(), false);
            let chunks: Vec<_> = hashes.iter().filter_map(|hash| read(hash)?.value).collect();
            let chunks = chunks.into_iter().map(|chunk| self.corrupted(chunk));
            Event::Chunks {
                from,
                chunks: chunks.collect(),
            }
        } else {
            let stale = self.chance(self.settings.stale_permille);
            match self.store.read("head", "config", stale) {
                Some(object) => Event::Head {
                    from,
                    bytes: object.value.unwrap_or_default(),
                },
                None => Event::FetchFailed { from },
            }
        };
        self.deliver_soon(id, event);
    }

    fn deliver_soon(&mut self, id: &ids::InstanceId, event: Event) {
        if let Some(incarnation) = self.incarnation(id) {
            let delay_ms = self.rng.random_range(2..60);
            self.later(delay_ms, Delivery::Instance(id.clone(), incarnation, event));
        }
    }

    fn operator_turn(&mut self, operator: usize) {
        let head = self.truth.newest();
        if self.healed && self.operators[operator].is_idle() {
            return;
        }
        match self.operators[operator].next(&mut self.rng, &head) {
            Move::Call(call) => {
                let delay_ms = self.rng.random_range(2..40);
                self.later(delay_ms, Delivery::OperatorCall(operator, call));
            }
            Move::Wait(ms) => self.later(ms, Delivery::OperatorTurn(operator)),
            Move::Ended(write_id, outcome) => {
                self.count(&outcome);
                self.truth.note_told(&write_id, outcome);
                self.later(0, Delivery::OperatorTurn(operator));
            }
        }
    }

    fn count(&mut self, outcome: &damaskvane_config::submit::Outcome) {
        use damaskvane_config::submit::Outcome;
        let count = match outcome {
            Outcome::Accepted { .. } => &mut self.report.told_accepted,
            Outcome::Overlapping(_) => &mut self.report.refused_overlapping,
            Outcome::Invalid(_) => &mut self.report.refused_invalid,
            Outcome::NotAccepted(_) => &mut self.report.not_accepted,
            Outcome::Unknown(_) => &mut self.report.unknown,
        };
        *count += 1;
    }

    fn store_call(&mut self, call: &Call) -> Result<Answer, String> {
        if self.is_store_down() {
            return Ok(Answer::Failed("outage".to_owned()));
        }
        if matches!(call, Call::ReadHead | Call::ReadChunk(_)) {
            return Ok(self.store_read(call));
        }
        if self.chance(self.settings.lost_before_permille) {
            return Ok(Answer::Unknown("lost before".to_owned()));
        }
        if self.chance(self.settings.late_write_permille) {
            let delay_ms = self.rng.random_range(100..5_000);
            self.later(delay_ms, Delivery::LateWrite(call.clone()));
            return Ok(Answer::Unknown("late".to_owned()));
        }
        let answer = self.apply(call)?;
        if self.chance(self.settings.lost_after_permille) {
            self.report.lost_after += 1;
            return Ok(Answer::Unknown("lost after".to_owned()));
        }
        Ok(answer)
    }

    fn store_read(&mut self, call: &Call) -> Answer {
        let stale = self.chance(self.settings.stale_permille);
        let (kind, name) = call.key();
        match self.store.read(kind, &name, stale) {
            Some(object) => Answer::Found {
                version: object.version,
                bytes: object.value.unwrap_or_default(),
            },
            None => Answer::Absent,
        }
    }

    fn apply(&mut self, call: &Call) -> Result<Answer, String> {
        let (kind, name) = call.key();
        let write = |if_version, bytes: &[u8], write_id: &str| {
            self.store
                .write(kind, &name, if_version, Some(bytes), write_id, "")
        };
        let outcome = match call {
            Call::WriteChunk(chunk) | Call::FileTicket(_, chunk) => write(0, chunk.bytes(), ""),
            Call::WriteHead {
                if_version,
                bytes,
                write_id,
            } => write(*if_version, bytes, write_id),
            Call::ReadHead | Call::ReadChunk(_) => return Ok(Answer::Absent),
        };
        match (outcome, call) {
            (WriteOutcome::Conflict(_), _) => Ok(Answer::Conflict),
            (WriteOutcome::Applied(_), Call::WriteHead { bytes, .. }) => {
                self.truth.note_head(bytes)?;
                self.fire_watches();
                Ok(Answer::Applied)
            }
            (WriteOutcome::Applied(_), _) => Ok(Answer::Applied),
        }
    }

    fn fire_watches(&mut self) {
        let watching: Vec<_> = self
            .fleet
            .instances
            .values()
            .filter(|instance| instance.relay.is_watching())
            .filter(|instance| {
                !self
                    .fleet
                    .is_cut(&instance.member.availability_zone, self.now)
            })
            .map(|instance| instance.member.instance.clone())
            .collect();
        for id in watching {
            if !self.chance(self.settings.watch_skip_permille) {
                self.deliver_soon(&id, Event::WatchFired);
            }
            if self.chance(self.settings.watch_skip_permille) {
                self.deliver_soon(&id, Event::WatchFired);
            }
        }
    }

    fn incidents(&mut self) {
        let ids: Vec<_> = self.fleet.instances.keys().cloned().collect();
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        let until = self.now + time::SpanMs::new(self.rng.random_range(500..20_000));
        if self.chance(self.settings.incident_permille) {
            self.store_down_until = until;
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

    /// Ends every fault; what is under way goes on to its end.
    fn heal(&mut self) {
        self.healed = true;
        self.store_down_until = time::TimeMs::ZERO;
        self.fleet.heal();
        self.settings = RunSettings {
            lost_after_permille: 0,
            lost_before_permille: 0,
            late_write_permille: 0,
            stale_permille: 0,
            message_loss_permille: 0,
            corrupt_permille: 0,
            watch_skip_permille: 0,
            incident_permille: 0,
            ..self.settings
        };
    }

    fn check_end(&mut self) -> Result<(), String> {
        self.report.instances = self.fleet.instances.len();
        self.report.accepted = self.truth.accepted();
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
        instances.all(|instance| instance.relay.adopter().version() == newest)
    }

    fn change_views(&mut self) {
        let ids: Vec<_> = self.fleet.instances.keys().cloned().collect();
        for id in ids {
            let event = Event::Membership(self.fleet.view_of(&id));
            self.deliver_soon(&id, event);
        }
    }

    fn incarnation(&self, id: &ids::InstanceId) -> Option<u64> {
        Some(self.fleet.instances.get(id)?.incarnation)
    }

    fn is_store_down(&self) -> bool {
        self.now < self.store_down_until
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.rng.random_range(0..1_000) < permille
    }

    fn later(&mut self, delay_ms: u64, delivery: Delivery) {
        self.serial += 1;
        let at = self.now + time::SpanMs::new(delay_ms);
        self.queue.insert((at, self.serial), delivery);
    }
}
