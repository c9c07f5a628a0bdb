//! Runs of a minute of virtual time that are disturbed at random, as in `random.rs`, at any rate of disturbances.

use std::fmt;

use rand::{RngExt, SeedableRng};

use super::availability::Availability;
use super::{SimulatedZone, disturbance};

/// Steps of a run without those that `SimulatedZone::join` adds.
const STEPS: u32 = 6_000;

/// How the disturbances of a run are drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Faults {
    /// No disturbances.
    None,
    /// Faults end before an instance starts; one generator draws disturbances and messages.
    EndBeforeStarts,
    /// Instances start while faults continue; disturbances have a generator of their own.
    AmidStarts,
}

/// The run of one seed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Run {
    pub(crate) seed: u64,
    pub(crate) faults: Faults,
    /// Mean number of steps between two disturbances.
    pub(crate) steps_per_disturbance: u32,
    /// Whether the time is accounted for.
    pub(crate) is_observed: bool,
    /// Whether disturbances are printed.
    pub(crate) is_printed: bool,
}

impl Default for Run {
    fn default() -> Self {
        Self {
            seed: 0,
            faults: Faults::EndBeforeStarts,
            steps_per_disturbance: 80,
            is_observed: true,
            is_printed: false,
        }
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seed, faults, steps) = (self.seed, self.faults, self.steps_per_disturbance);
        write!(f, "seed {seed}, {faults:?}, 1/{steps}")
    }
}

impl Run {
    /// Runs the zone of the seed; the seed also selects the load.
    pub(crate) fn run(&self) -> SimulatedZone {
        let mut zone = SimulatedZone::new(self.seed, &disturbance::NAMES[..3], &[6, 3, 1]);
        zone.uses_full_deadline = self.seed % 2 == 1;
        zone.demand_percent = 20 + 40 * u32::try_from(self.seed % 3).expect("below 3");
        zone.allows_cuts_before_discovery = self.faults != Faults::AmidStarts;
        zone.availability = self.is_observed.then(Availability::default);
        let mut faults = rand_pcg::Pcg32::seed_from_u64(self.seed);
        for _ in 0..STEPS {
            if let Some(disturbance) = self.draw(&mut zone, &mut faults) {
                if self.is_printed {
                    println!("{:>6} {disturbance:?}", zone.now.get());
                }
                zone.disturb(disturbance);
            }
            zone.step();
        }
        zone
    }

    fn draw(
        &self,
        zone: &mut SimulatedZone,
        faults: &mut rand_pcg::Pcg32,
    ) -> Option<disturbance::Disturbance> {
        match self.faults {
            Faults::None => None,
            Faults::AmidStarts => faults
                .random_ratio(1, self.steps_per_disturbance)
                .then(|| disturbance::Disturbance::draw_amid_faults(faults)),
            Faults::EndBeforeStarts => {
                if !zone.random.random_ratio(1, self.steps_per_disturbance) {
                    return None;
                }
                let mut random = zone.random.clone();
                let drawn = disturbance::Disturbance::draw(&mut random, |name| {
                    zone.instances.contains_key(name)
                });
                zone.random = random;
                Some(drawn)
            }
        }
    }
}
