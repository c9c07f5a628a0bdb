//! The requests of a history, which do not depend on any choice.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Which objects requests name.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Objects {
    /// Each request names an object of its own.
    New,
    /// Each object is requested once in this time on average, in seconds.
    Back(f64),
}

/// One request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub at_ms: u64,
    pub instance: usize,
    pub object: u64,
    /// Time of a first run on a machine of the usual speed.
    pub work_ms: f64,
    pub draw: f64,
}

/// Draws the requests one after the other.
#[derive(Debug)]
pub struct Demand {
    random: Pcg64Mcg,
    at_ms: f64,
    next: u64,
    calls_per_ms: f64,
    instances: usize,
    objects: Objects,
    mean_work_ms: f64,
}

impl Demand {
    pub fn new(seed: u64, calls_per_ms: f64, instances: usize, objects: Objects) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            at_ms: 0.0,
            next: 0,
            calls_per_ms,
            instances,
            objects,
            mean_work_ms: super::world::FIRST_RUN_MS,
        }
    }

    pub fn call(&mut self) -> Call {
        let random: f64 = self.random.random();
        self.at_ms -= (1.0 - random).ln() / self.calls_per_ms;
        self.next += 1;
        let object = match self.objects {
            Objects::New => self.next,
            Objects::Back(every_s) => {
                let objects = (self.calls_per_ms * every_s * 1_000.0) as u64;
                self.random.random_range(0..objects.max(1))
            }
        };
        Call {
            at_ms: self.at_ms as u64,
            instance: self.random.random_range(0..self.instances),
            // Objects are spread over rings by the upper half of their hashes.
            object: (object + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            work_ms: self.mean_work_ms * self.random.random_range(0.7..1.3),
            draw: self.random.random(),
        }
    }
}
