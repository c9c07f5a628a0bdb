//! What zones count, and how their reports reach the others: late, lost or falsified.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use damaskvane_core::{time, units};
use damaskvane_steering::{digest, rate};
use rand::RngExt;

use crate::steering::deployment::Deployment;
use crate::steering::fault::{self, Fault};

const US_PER_MS: u64 = 1_000;

/// How long a report takes besides the distance.
const RELAY_MS: u64 = 100;

/// How late delayed reports are.
const DELAY_MS: u64 = 30_000;

/// One of so many reports is lost.
const LOSS: u32 = 50;

/// One of so many reports is nonsense while reports are absurd.
const NONSENSE: u32 = 3;

/// How much of the newest second a zone's counts take over.
const SMOOTHING: f64 = 0.5;

/// What one zone counts of one service in a second.
#[derive(Debug, Clone)]
pub(super) struct Counts {
    pub(super) arrived: Vec<u32>,
    pub(super) refused: u32,
    pub(super) running: u32,
    pub(super) answered: Vec<u32>,
    pub(super) turned_away: Vec<u32>,
    smooth_rps: Vec<f64>,
    smooth_answered_rps: Vec<f64>,
    smooth_turned_away_rps: Vec<f64>,
    smooth_refused_rps: f64,
}

impl Counts {
    pub(super) fn new(zones: usize) -> Self {
        Self {
            arrived: vec![0; zones],
            refused: 0,
            running: 0,
            answered: vec![0; zones],
            turned_away: vec![0; zones],
            smooth_rps: vec![0.0; zones],
            smooth_answered_rps: vec![0.0; zones],
            smooth_turned_away_rps: vec![0.0; zones],
            smooth_refused_rps: 0.0,
        }
    }

    /// Ends a second and starts the next.
    pub(super) fn turn(&mut self) {
        smooth(&mut self.smooth_rps, &mut self.arrived);
        smooth(&mut self.smooth_answered_rps, &mut self.answered);
        smooth(&mut self.smooth_turned_away_rps, &mut self.turned_away);
        self.smooth_refused_rps += (f64::from(self.refused) - self.smooth_refused_rps) * SMOOTHING;
        self.refused = 0;
    }

    fn report(
        &self,
        deployment: &Deployment,
        service: usize,
        zone: usize,
    ) -> digest::ServiceDigest {
        let zones = deployment.zones.iter().cloned();
        let demand = zones.zip(self.smooth_rps.iter().map(|rps| to_rate(*rps)));
        let answered = self
            .smooth_answered_rps
            .iter()
            .zip(&self.smooth_turned_away_rps);
        let lookups = answered.map(|(answered, refused)| digest::Lookups {
            answered: to_rate(*answered),
            refused: to_rate(*refused),
        });
        digest::ServiceDigest {
            lookups: deployment.zones.iter().cloned().zip(lookups).collect(),
            capacity: to_rate(deployment.capacity_rps(service, zone)),
            running: units::Slots::new(self.running),
            demand: demand
                .filter(|(_, rate)| *rate > rate::Rate::ZERO)
                .collect(),
            refused: to_rate(self.smooth_refused_rps),
            ..digest::ServiceDigest::default()
        }
    }
}

fn smooth(smooth_rps: &mut [f64], counts: &mut [u32]) {
    for (smooth, count) in smooth_rps.iter_mut().zip(counts) {
        *smooth += (f64::from(*count) - *smooth) * SMOOTHING;
        *count = 0;
    }
}

fn to_rate(rps: f64) -> rate::Rate {
    rate::Rate::from_milli((rps * 1_000.0) as u64)
}

/// Reports on their way, by the time they arrive.
#[derive(Debug, Default)]
pub(super) struct Wire {
    due: BinaryHeap<Reverse<(u64, u64)>>,
    reports: BTreeMap<u64, (usize, digest::ZoneDigest)>,
    next: u64,
}

impl Wire {
    /// Makes the report of a zone and sends it to every other zone's instances and its own.
    pub(super) fn send(
        &mut self,
        deployment: &Deployment,
        counts: &[Vec<Counts>],
        zone: usize,
        now: (u64, Fault),
        rng: &mut impl RngExt,
    ) {
        let (now_us, fault) = now;
        let second = now_us / (1_000 * US_PER_MS);
        for reader in 0..deployment.zones.len() {
            let mut report = make(deployment, counts, zone, second, now_us);
            if fault == Fault::IdleWhileShedding && zone == fault::ZONE && fault.is_on(second) {
                report
                    .services
                    .values_mut()
                    .for_each(|service| service.running = units::Slots::ZERO);
            }
            let is_own = reader == zone;
            if !is_own
                && (lost(deployment, fault, zone, reader, second) || rng.random_range(0..LOSS) == 0)
            {
                continue;
            }
            if fault == Fault::Absurd && fault.is_on(second) && rng.random_range(0..NONSENSE) == 0 {
                falsify(&mut report, deployment, rng);
            }
            let mut delay_ms = if is_own {
                0
            } else {
                RELAY_MS + 2 * deployment.latency_ms(zone, reader) as u64
            };
            if fault == Fault::Delayed && fault.is_on(second) && !is_own {
                delay_ms += DELAY_MS;
            }
            self.due
                .push(Reverse((now_us + delay_ms * US_PER_MS, self.next)));
            self.reports.insert(self.next, (reader, report));
            self.next += 1;
        }
    }

    /// The next report that has arrived, and at which zone.
    pub(super) fn arrived(&mut self, now_us: u64) -> Option<(usize, digest::ZoneDigest)> {
        let Reverse((due_us, number)) = *self.due.peek()?;
        if due_us > now_us {
            return None;
        }
        self.due.pop();
        self.reports.remove(&number)
    }
}

fn make(
    deployment: &Deployment,
    counts: &[Vec<Counts>],
    zone: usize,
    second: u64,
    now_us: u64,
) -> digest::ZoneDigest {
    let taken_at = time::TimeMs::new(now_us / US_PER_MS);
    let mut report = digest::ZoneDigest::new(deployment.zones[zone].clone(), second, taken_at);
    for (service, sizes) in deployment.services.iter().enumerate() {
        let counted = counts[service][zone].report(deployment, service, zone);
        report.services.insert(sizes.id.clone(), counted);
    }
    report
}

fn lost(deployment: &Deployment, fault: Fault, zone: usize, reader: usize, second: u64) -> bool {
    let is_hit = |zone: usize| deployment.regions[zone] == fault::REGION;
    let is_away = fault.region_lost(second) && is_hit(zone);
    let is_cut = fault.region_cut(second) && is_hit(zone) != is_hit(reader);
    let is_frozen = fault == Fault::Frozen && fault.is_on(second);
    is_away || is_cut || is_frozen
}

fn falsify(report: &mut digest::ZoneDigest, deployment: &Deployment, rng: &mut impl RngExt) {
    if rng.random_range(0..4) == 0 {
        let other = rng.random_range(0..deployment.zones.len());
        report.zone = deployment.zones[other].clone();
        return;
    }
    for service in report.services.values_mut() {
        match rng.random_range(0..4) {
            0 => service.capacity = rate::Rate::ZERO,
            1 => service.capacity = rate::Rate::from_milli(u64::MAX),
            2 => service.running = units::Slots::new(u32::MAX),
            _ => service
                .demand
                .values_mut()
                .for_each(|rate| *rate = rate.permille(rng.random_range(0..100_000))),
        }
    }
}
