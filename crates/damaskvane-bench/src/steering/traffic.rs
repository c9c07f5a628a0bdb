//! Seeded demand of every source zone.

use core::f64::consts::TAU;

use rand::RngExt;

use crate::steering::deployment::Deployment;

/// How far a source's demand may be from its zone's part of the capacity, each way.
const SKEW: f64 = 0.25;

/// By how much the demand of a region swings over time, each way.
const SWING: f64 = 0.1;

const SWING_PERIOD_S: f64 = 120.0;

/// The demand of one service, by source zone.
#[derive(Debug)]
pub(super) struct Traffic {
    parts: Vec<f64>,
    phases: Vec<f64>,
    total_rps: f64,
}

impl Traffic {
    pub(super) fn new(
        deployment: &Deployment,
        service: usize,
        load_percent: u32,
        rng: &mut impl RngExt,
    ) -> Self {
        let zones = 0..deployment.zones.len();
        let mut skew = || rng.random_range(1.0 - SKEW..1.0 + SKEW);
        let parts = zones
            .map(|zone| deployment.capacity_rps(service, zone) * skew())
            .collect();
        let phases = (0..3).map(|_| rng.random_range(0.0..TAU)).collect();
        let load = f64::from(load_percent) / 100.0;
        Self {
            parts,
            phases,
            total_rps: deployment.total_capacity_rps(service) * load,
        }
    }

    /// The demand of every source, which always sums up to the same.
    pub(super) fn rates_rps(&self, deployment: &Deployment, second: f64) -> Vec<f64> {
        let swing = |zone: usize| {
            let phase = self.phases[deployment.regions[zone]];
            1.0 + SWING * (TAU * second / SWING_PERIOD_S + phase).sin()
        };
        let parts: Vec<_> = self
            .parts
            .iter()
            .enumerate()
            .map(|(zone, part)| part * swing(zone))
            .collect();
        let sum: f64 = parts.iter().sum();
        parts
            .iter()
            .map(|part| part / sum * self.total_rps)
            .collect()
    }
}

/// A number of arrivals with this mean.
pub(super) fn poisson(mean: f64, rng: &mut impl RngExt) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

/// The time of a request with this mean: two exponential stages.
pub(super) fn service_time_us(mean_ms: f64, rng: &mut impl RngExt) -> u64 {
    let mut stage = || -(1.0 - rng.random::<f64>()).ln() * mean_ms * 500.0;
    (stage() + stage()) as u64
}
