//! Faults and changes that are applied to the simulated zone.

use damaskvane_core::{ids, time};
use rand::RngExt;

use super::{SimulatedZone, id, ms};

pub(crate) const NAMES: [&str; 4] = ["a-1", "a-2", "a-3", "a-4"];

/// A fault or a change of the zone, or the end of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Disturbance {
    Kill(ids::InstanceId),
    Leave(ids::InstanceId),
    /// All faults end and an instance starts, so that all other instances can discover it.
    Join(ids::InstanceId),
    /// An instance starts while faults continue.
    Start(ids::InstanceId),
    Pause(ids::InstanceId, time::SpanMs),
    CutOneWay(ids::InstanceId, ids::InstanceId),
    Cut(ids::InstanceId, ids::InstanceId),
    HealCuts,
    LosePlatform(ids::InstanceId),
    /// One instance reaches the platform again.
    RegainPlatform(ids::InstanceId),
    HealPlatform,
    Network {
        loss_permille: u32,
        max_delay_ms: u64,
    },
}

fn name(random: &mut rand_pcg::Pcg32) -> ids::InstanceId {
    id(NAMES[random.random_range(0..NAMES.len())])
}

impl Disturbance {
    /// Draws a disturbance at random; instances start only by `Join`, after which all others can discover them.
    pub(crate) fn draw(
        random: &mut rand_pcg::Pcg32,
        is_running: impl Fn(&ids::InstanceId) -> bool,
    ) -> Self {
        let (a, b) = (name(random), name(random));
        match random.random_range(0..14) {
            0 => Self::Kill(a),
            1 => Self::Leave(a),
            2..=4 if !is_running(&a) => Self::Join(a),
            5 | 6 => Self::Pause(a, ms(random.random_range(100..8_000))),
            7 => Self::CutOneWay(a, b),
            8 => Self::Cut(a, b),
            9 | 10 => Self::HealCuts,
            11 => Self::LosePlatform(a),
            12 => Self::HealPlatform,
            _ => Self::Network {
                loss_permille: [0, 0, 50, 300][random.random_range(0..4)],
                max_delay_ms: [5, 50, 400, 2_500][random.random_range(0..4)],
            },
        }
    }

    /// Draws a disturbance at random; instances start while faults continue, and reach the platform again one by one
    /// or all at once.
    pub(crate) fn draw_amid_faults(random: &mut rand_pcg::Pcg32) -> Self {
        let (a, b) = (name(random), name(random));
        match random.random_range(0..20) {
            0 => Self::Kill(a),
            1 | 2 => Self::Leave(a),
            3..=7 => Self::Start(a),
            8 => Self::Pause(a, ms(random.random_range(100..8_000))),
            9 => Self::CutOneWay(a, b),
            10 => Self::Cut(a, b),
            11..=13 => Self::HealCuts,
            14..=16 => Self::LosePlatform(a),
            17 => Self::RegainPlatform(a),
            18 => Self::HealPlatform,
            _ => Self::Network {
                loss_permille: [0, 0, 50, 300][random.random_range(0..4)],
                max_delay_ms: [5, 50, 400, 2_500][random.random_range(0..4)],
            },
        }
    }
}

impl SimulatedZone {
    pub(crate) fn disturb(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::Kill(name) => self.kill(&name),
            Disturbance::Leave(name) => self.leave(&name),
            Disturbance::Join(name) => self.join(&name),
            Disturbance::Start(name) => {
                if !self.instances.contains_key(&name) {
                    self.start(&name);
                }
            }
            Disturbance::Pause(name, pause) => self.pause(&name, pause),
            Disturbance::CutOneWay(from, to) => drop(self.cuts.insert((from, to))),
            Disturbance::Cut(a, b) => self.cut(&a, &b),
            Disturbance::HealCuts => self.cuts.clear(),
            Disturbance::LosePlatform(name) => drop(self.without_platform.insert(name)),
            Disturbance::RegainPlatform(name) => drop(self.without_platform.remove(&name)),
            Disturbance::HealPlatform => self.without_platform.clear(),
            Disturbance::Network {
                loss_permille,
                max_delay_ms,
            } => (self.loss_permille, self.max_delay_ms) = (loss_permille, max_delay_ms),
        }
    }

    /// Ends all faults, then starts an instance, so that all other instances can discover it.
    ///
    /// Not covered is an instance that is cut off from the platform and from a new instance that it does not know.
    /// It continues beside the new instance, as it must in a zone that is cut off as a whole.
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

    /// Drops all messages between two instances, in both directions.
    pub(crate) fn cut(&mut self, a: &ids::InstanceId, b: &ids::InstanceId) {
        let forward = (a.clone(), b.clone());
        let reverse = (b.clone(), a.clone());
        self.cuts.extend([forward, reverse]);
    }

    /// Pauses the process of an instance; messages that arrive during the pause wait until it is over.
    pub(crate) fn pause(&mut self, name: &ids::InstanceId, pause: time::SpanMs) {
        let now = self.now;
        if let Some(instance) = self.instances.get_mut(name) {
            instance.paused_until = now + pause;
        }
    }
}
