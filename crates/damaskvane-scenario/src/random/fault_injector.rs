//! Injects random faults, several at once, and ends each fault after a random time.
//!
//! ```text
//! fault -> some seconds -> recovery (ok, heal, undrain, restart)
//! ```

use std::collections::VecDeque;

use damaskvane_core::{ids, time};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::random::{RandomSettings, parse_id};
use crate::script::{Control, Fault, ServerMode};
use crate::world::World;

const FAULT_STREAM: u64 = 0x6368_616f_7300;
const MAX_RECENT_FAULTS: usize = 12;
const PAUSE_DURATIONS_MS: [u64; 4] = [200, 1_500, 6_000, 20_000];

#[derive(Debug)]
enum Recovery {
    Fault(Fault),
    Control(Control),
}

/// Injects faults at random intervals and schedules the recovery from each fault.
#[derive(Debug)]
pub(super) struct FaultInjector {
    rng: Pcg64Mcg,
    mean_interval_ms: u64,
    next_at: time::TimeMs,
    recoveries: Vec<(time::TimeMs, Recovery)>,
    pub(super) fault_count: u64,
    pub(super) recent_faults: VecDeque<String>,
}

impl FaultInjector {
    pub(super) fn new(settings: &RandomSettings) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed ^ FAULT_STREAM),
            mean_interval_ms: 60_000 / settings.faults_per_minute.max(1),
            next_at: time::TimeMs::ZERO,
            recoveries: Vec::new(),
            fault_count: 0,
            recent_faults: VecDeque::new(),
        }
    }

    pub(super) fn step(&mut self, world: &mut World) {
        self.recover_due(world, false);
        if world.now < self.next_at {
            return;
        }
        let interval_ms = self.rng.random_range(0..=2 * self.mean_interval_ms);
        self.next_at = world.now + time::SpanMs::new(interval_ms);
        self.start_fault(world);
    }

    /// Ends all faults at once.
    pub(super) fn recover_all(&mut self, world: &mut World) {
        self.recover_due(world, true);
        world.heal_all();
    }

    fn recover_due(&mut self, world: &mut World, all: bool) {
        let now = world.now;
        let (due, later) = self
            .recoveries
            .drain(..)
            .partition(|(at, _)| all || *at <= now);
        self.recoveries = later;
        let due: Vec<(time::TimeMs, Recovery)> = due;
        for (_, recovery) in due {
            match recovery {
                Recovery::Fault(fault) => self.inject(world, &fault),
                Recovery::Control(control) => self.apply_control(world, &control),
            }
        }
    }

    fn record(&mut self, now: time::TimeMs, description: &str) {
        if self.recent_faults.len() == MAX_RECENT_FAULTS {
            self.recent_faults.pop_back();
        }
        self.recent_faults
            .push_front(format!("at {}: {description}", now.get()));
    }

    fn inject(&mut self, world: &mut World, fault: &Fault) {
        self.record(world.now, &format!("{fault:?}"));
        world.inject_fault(fault);
    }

    fn apply_control(&mut self, world: &mut World, control: &Control) {
        self.record(world.now, &format!("{control:?}"));
        world.apply_control(control);
    }

    fn schedule_recovery(&mut self, world: &World, max_ms: u64, recovery: Recovery) {
        let duration = time::SpanMs::new(self.rng.random_range(200..=max_ms));
        self.recoveries.push((world.now + duration, recovery));
    }

    fn start_fault(&mut self, world: &mut World) {
        self.fault_count += 1;
        let instances = world.instances();
        let servers = world.backend_servers();
        let (Some(instance), Some(server)) = (
            instances.choose(&mut self.rng).cloned(),
            servers.choose(&mut self.rng).cloned(),
        ) else {
            return;
        };
        match self.rng.random_range(0..10) {
            0 => self.kill(world, instance),
            1 => {
                self.inject(world, &Fault::Restart(instance));
            }
            2 => {
                let span_ms = PAUSE_DURATIONS_MS
                    .choose(&mut self.rng)
                    .copied()
                    .unwrap_or(200);
                let span = time::SpanMs::new(span_ms);
                self.inject(world, &Fault::Pause { instance, span });
            }
            3 => self.stop(world, instance),
            4 => {
                if let Some(other) = instances.choose(&mut self.rng).cloned() {
                    self.cut_link(world, instance, other);
                }
            }
            5 => self.cut_link(world, instance, parse_id("platform")),
            6 => {
                self.apply_control(world, &Control::Drain(server.clone()));
                self.schedule_recovery(world, 8_000, Recovery::Control(Control::Undrain(server)));
            }
            _ => self.degrade_server(world, server),
        }
    }

    fn kill(&mut self, world: &mut World, instance: ids::InstanceId) {
        self.inject(world, &Fault::Kill(instance.clone()));
        self.schedule_recovery(world, 20_000, Recovery::Fault(Fault::Restart(instance)));
    }

    fn stop(&mut self, world: &mut World, instance: ids::InstanceId) {
        self.apply_control(world, &Control::Stop(instance.clone()));
        let restart = Recovery::Fault(Fault::Restart(instance));
        let at = world.now + time::SpanMs::new(45_000);
        self.recoveries.push((at, restart));
    }

    fn cut_link(&mut self, world: &mut World, a: ids::InstanceId, b: ids::InstanceId) {
        self.inject(world, &Fault::Cut(a.clone(), b.clone()));
        self.schedule_recovery(world, 20_000, Recovery::Fault(Fault::Heal(a, b)));
    }

    fn degrade_server(&mut self, world: &mut World, server: ids::BackendServerId) {
        let modes = [
            ServerMode::Shed,
            ServerMode::Die,
            ServerMode::HangUp,
            ServerMode::Swallow,
            ServerMode::Silent,
            ServerMode::Cut,
            ServerMode::Cross,
            ServerMode::Down,
            ServerMode::Slow(time::SpanMs::new(1_500)),
        ];
        let mode = modes.choose(&mut self.rng).copied();
        let mode = mode.unwrap_or(ServerMode::Shed);
        let fault = Fault::Server {
            server: server.clone(),
            mode,
        };
        self.inject(world, &fault);
        let healthy = Fault::Server {
            server,
            mode: ServerMode::Healthy,
        };
        self.schedule_recovery(world, 5_000, Recovery::Fault(healthy));
    }
}
