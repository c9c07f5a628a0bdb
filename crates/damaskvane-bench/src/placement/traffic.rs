//! When requests come, and for what.

use core::f64::consts::TAU;

use rand::RngExt;

use crate::placement::case::{Case, Pattern};
use crate::placement::deployment::Deployment;

/// The time in which a zone's requests rise and fall.
const PERIOD_MS: f64 = 36_000.0;
/// When a pattern's trouble begins and how long it lasts.
pub(super) const TROUBLE_AT_MS: u64 = 12_000;
const BURST_MS: u64 = 3_000;
pub(super) const TROUBLE_MS: u64 = 6_000;
const BURST: f64 = 1.7;
const SHIFTED: f64 = 0.5;
/// The spread of work around its mean.
const WORK_SPREAD: f64 = 0.25;

/// A request that a client makes.
#[derive(Debug, Clone)]
pub(super) struct Wanted {
    pub(super) kind: usize,
    pub(super) zone: usize,
    /// Which of the zone's instances it meets.
    pub(super) instance: usize,
    pub(super) object: String,
    pub(super) work_ms: f64,
    pub(super) asked_ms: u64,
    /// Whether its client comes back at once and often when it is refused.
    pub(super) is_hasty: bool,
}

/// The share of clients that come back at once, not when they are told.
const HASTY: f64 = 0.15;

/// Requests a second that a zone's callers send.
fn rate_per_s(case: &Case, deployment: &Deployment, zone: usize, now_ms: u64) -> f64 {
    let of_zone = &deployment.zones[zone];
    let phase = 0.1 + of_zone.region as f64 / deployment.regions() as f64;
    let wave = 1.0 + deployment.swing * (TAU * (now_ms as f64 / PERIOD_MS + phase)).sin();
    let load = f64::from(case.load_percent) / 100.0;
    let mut rate = deployment.per_s * of_zone.callers * load * wave;
    let since_ms = now_ms.checked_sub(TROUBLE_AT_MS);
    let is_within = |span_ms: u64| since_ms.is_some_and(|since_ms| since_ms < span_ms);
    if case.pattern == Pattern::Burst && is_within(BURST_MS) {
        rate *= BURST;
    }
    if case.pattern == Pattern::Shift && is_within(TROUBLE_MS) {
        let gains = deployment.zones.len() / 3;
        if zone == 0 {
            rate *= SHIFTED;
        } else if zone == gains {
            rate *= 1.0 + SHIFTED;
        }
    }
    rate
}

/// The requests of one millisecond.
pub(super) fn arrivals(
    case: &Case,
    deployment: &Deployment,
    now_ms: u64,
    random: &mut impl rand::Rng,
) -> Vec<Wanted> {
    let mut wanted = Vec::new();
    for zone in 0..deployment.zones.len() {
        let chance = rate_per_s(case, deployment, zone, now_ms) / 1_000.0;
        if random.random_bool(chance.clamp(0.0, 1.0)) {
            wanted.push(draw(case, deployment, zone, now_ms, random));
        }
    }
    wanted
}

fn draw(
    case: &Case,
    deployment: &Deployment,
    zone: usize,
    now_ms: u64,
    random: &mut impl rand::Rng,
) -> Wanted {
    let mut drawn = random.random::<f64>();
    let mut kind = 0;
    while kind + 1 < deployment.kinds.len() && drawn >= deployment.kinds[kind].share {
        drawn -= deployment.kinds[kind].share;
        kind += 1;
    }
    let of_kind = &deployment.kinds[kind];
    let spread = random.random_range(1.0 - WORK_SPREAD..1.0 + WORK_SPREAD);
    let number = object(of_kind.objects, of_kind.skew, random);
    Wanted {
        kind,
        zone,
        instance: random.random_range(0..deployment.zones[zone].instances),
        // Each run draws its own places of objects: a comparison is not to turn on one of them.
        object: format!("{}/{}/{number}", case.seed, deployment.zones[zone].region),
        work_ms: of_kind.work_ms * spread,
        asked_ms: now_ms,
        is_hasty: random.random_bool(HASTY),
    }
}

/// Draws from a power law by its inverse.
fn object(objects: u64, skew: f64, random: &mut impl rand::Rng) -> u64 {
    let drawn: f64 = random.random::<f64>().powf(1.0 / (1.0 - skew));
    (drawn * objects as f64) as u64
}
