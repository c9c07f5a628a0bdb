//! Random faults, several at once, each mended after a while.
//!
//! ```text
//! fault -> some seconds -> its end (ok, heal, undrain, restart)
//! ```

use std::collections::VecDeque;

use damaskvane_core::{ids, time};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::random::{RandomSettings, named};
use crate::script::{Control, Fault, ServerMode};
use crate::world::World;

const CHAOS_STREAM: u64 = 0x6368_616f_7300;
const REMEMBERED: usize = 12;
const PAUSES_MS: [u64; 4] = [200, 1_500, 6_000, 20_000];

#[derive(Debug)]
enum End {
    Fault(Fault),
    Control(Control),
}

/// All that goes wrong.
#[derive(Debug)]
pub(super) struct Chaos {
    rng: Pcg64Mcg,
    between_ms: u64,
    next_at: time::TimeMs,
    ends: Vec<(time::TimeMs, End)>,
    pub(super) begun: u64,
    pub(super) last: VecDeque<String>,
}

impl Chaos {
    pub(super) fn new(settings: &RandomSettings) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed ^ CHAOS_STREAM),
            between_ms: 60_000 / settings.faults_per_minute.max(1),
            next_at: time::TimeMs::ZERO,
            ends: Vec::new(),
            begun: 0,
            last: VecDeque::new(),
        }
    }

    pub(super) fn act(&mut self, world: &mut World) {
        self.end_due(world, false);
        if world.now < self.next_at {
            return;
        }
        let between = self.rng.random_range(0..=2 * self.between_ms);
        self.next_at = world.now + time::SpanMs::new(between);
        self.begin(world);
    }

    /// Mends everything.
    pub(super) fn end_all(&mut self, world: &mut World) {
        self.end_due(world, true);
        world.heal_all();
    }

    fn end_due(&mut self, world: &mut World, all: bool) {
        let now = world.now;
        let (due, later) = self.ends.drain(..).partition(|(at, _)| all || *at <= now);
        self.ends = later;
        let due: Vec<(time::TimeMs, End)> = due;
        for (_, end) in due {
            match end {
                End::Fault(fault) => self.cause(world, &fault),
                End::Control(control) => self.order(world, &control),
            }
        }
    }

    fn note(&mut self, now: time::TimeMs, what: &str) {
        if self.last.len() == REMEMBERED {
            self.last.pop_back();
        }
        self.last.push_front(format!("at {}: {what}", now.get()));
    }

    fn cause(&mut self, world: &mut World, fault: &Fault) {
        self.note(world.now, &format!("{fault:?}"));
        world.inject_fault(fault);
    }

    fn order(&mut self, world: &mut World, control: &Control) {
        self.note(world.now, &format!("{control:?}"));
        world.apply_control(control);
    }

    fn end_later(&mut self, world: &World, most_ms: u64, end: End) {
        let lasts = time::SpanMs::new(self.rng.random_range(200..=most_ms));
        self.ends.push((world.now + lasts, end));
    }

    fn begin(&mut self, world: &mut World) {
        self.begun += 1;
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
                self.cause(world, &Fault::Restart(instance));
            }
            2 => {
                let span_ms = PAUSES_MS.choose(&mut self.rng).copied().unwrap_or(200);
                let span = time::SpanMs::new(span_ms);
                self.cause(world, &Fault::Pause { instance, span });
            }
            3 => self.stop(world, instance),
            4 => {
                if let Some(other) = instances.choose(&mut self.rng).cloned() {
                    self.cut(world, instance, other);
                }
            }
            5 => self.cut(world, instance, named("platform")),
            6 => {
                self.order(world, &Control::Drain(server.clone()));
                self.end_later(world, 8_000, End::Control(Control::Undrain(server)));
            }
            _ => self.ail(world, server),
        }
    }

    fn kill(&mut self, world: &mut World, instance: ids::InstanceId) {
        self.cause(world, &Fault::Kill(instance.clone()));
        self.end_later(world, 20_000, End::Fault(Fault::Restart(instance)));
    }

    fn stop(&mut self, world: &mut World, instance: ids::InstanceId) {
        self.order(world, &Control::Stop(instance.clone()));
        let restart = End::Fault(Fault::Restart(instance));
        let at = world.now + time::SpanMs::new(45_000);
        self.ends.push((at, restart));
    }

    fn cut(&mut self, world: &mut World, a: ids::InstanceId, b: ids::InstanceId) {
        self.cause(world, &Fault::Cut(a.clone(), b.clone()));
        self.end_later(world, 20_000, End::Fault(Fault::Heal(a, b)));
    }

    fn ail(&mut self, world: &mut World, server: ids::BackendServerId) {
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
        self.cause(world, &fault);
        let healthy = Fault::Server {
            server,
            mode: ServerMode::Healthy,
        };
        self.end_later(world, 5_000, End::Fault(healthy));
    }
}
