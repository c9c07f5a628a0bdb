//! Times decisions.

use std::hint;
use std::time::Instant;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::configuration::{
    Configuration, Destination, Limits, Route, RouteKind, Service,
};
use damaskvane_routing::placement::{PlacementRequest, PlacementSettings, Placer};
use damaskvane_routing::pool::{PoolSettings, ServerEntry, ServerPool, ServerState};
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use xxhash_rust::xxh3;

const REGIONS: usize = 3;
const ZONES_PER_REGION: usize = 3;
const SLOTS: u32 = 6;
/// Servers that join and leave again while changes are timed.
const CHANGES: usize = 200;

/// What is timed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecisionSettings {
    /// Servers of the service, one size after the other.
    pub servers: Vec<usize>,
    /// Decisions for each size.
    pub decisions: usize,
    /// The seed of the objects.
    pub seed: u64,
}

impl Default for DecisionSettings {
    fn default() -> Self {
        Self {
            servers: vec![30, 100, 300, 1_000, 3_000],
            decisions: 20_000,
            seed: 1,
        }
    }
}

/// What was found for one number of servers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct DecisionFigure {
    /// Servers of the service.
    pub servers: usize,
    /// The mean time of a decision, in microseconds.
    pub decision_us: f64,
    /// The mean time of scoring and sorting all servers, in microseconds.
    pub sorted_us: f64,
    /// The mean time in which the pool follows a server that joins or leaves, in microseconds.
    pub change_us: f64,
}

/// Times decisions for each number of servers.
#[must_use]
pub fn measure(settings: &DecisionSettings) -> Vec<DecisionFigure> {
    let sizes = settings.servers.iter();
    sizes
        .map(|servers| measure_one(settings, *servers))
        .collect()
}

fn measure_one(settings: &DecisionSettings, servers: usize) -> DecisionFigure {
    let mut pool = pool(servers);
    let mut random = rand_pcg::Pcg32::seed_from_u64(settings.seed);
    let objects: Vec<u64> = (0..settings.decisions).map(|_| random.random()).collect();
    let decision_us = decide(&pool, &objects);
    let sorted_us = sort(&pool, &objects);
    let change_us = change(&mut pool, servers);
    DecisionFigure {
        servers,
        decision_us,
        sorted_us,
        change_us,
    }
}

fn decide(pool: &ServerPool, objects: &[u64]) -> f64 {
    let (route, service) = (route(), id("desk"));
    let configuration = Configuration::new(
        ids::ConfigVersion::new(1),
        [route.clone()],
        [Service {
            id: id("desk"),
            health_path: "/health".to_owned(),
            max_connections: 100,
            warmup_ms: 3_000,
            warmup_per_s: 10.0,
        }],
        Limits::default(),
    );
    let mut placer = Placer::new(PlacementSettings::default(), id("zone-0-0"), id("region-0"));
    let started = Instant::now();
    for object in objects {
        let request = PlacementRequest {
            team: None,
            route: &route,
            service: &service,
            object: Some(*object),
            tried: &[],
            remaining_ms: 2_000,
            spread: 0.5,
        };
        let now = TimeMs::new(1_000);
        hint::black_box(placer.choose(now, pool, &configuration, &request, 9));
    }
    mean_us(started, objects.len())
}

/// Scores, sorts and names all servers for each object.
fn sort(pool: &ServerPool, objects: &[u64]) -> f64 {
    let started = Instant::now();
    for object in objects {
        let scored = pool.servers().map(|server| {
            let name = server.entry.id.as_str().as_bytes();
            (xxh3::xxh3_64_with_seed(name, *object), server)
        });
        let mut scored: Vec<_> = scored.collect();
        scored.sort_unstable_by_key(|(score, _)| *score);
        let named = scored
            .into_iter()
            .map(|(_, server)| server.entry.id.clone());
        hint::black_box(named.collect::<Vec<_>>());
    }
    mean_us(started, objects.len())
}

fn change(pool: &mut ServerPool, servers: usize) -> f64 {
    let started = Instant::now();
    for number in 0..CHANGES {
        let entry = entry(servers + number);
        let id = entry.id.clone();
        pool.apply(TimeMs::new(1_000), entry);
        pool.remove(TimeMs::new(1_000), &id);
    }
    mean_us(started, 2 * CHANGES)
}

fn mean_us(started: Instant, count: usize) -> f64 {
    started.elapsed().as_secs_f64() * 1e6 / count.max(1) as f64
}

fn pool(servers: usize) -> ServerPool {
    let zones = (0..REGIONS * ZONES_PER_REGION).map(|number| (zone(number), region(number)));
    let mut pool = ServerPool::new(PoolSettings {
        regions: zones.collect(),
        ..PoolSettings::default()
    });
    for number in 0..servers {
        pool.apply(TimeMs::ZERO, entry(number));
    }
    pool
}

fn entry(number: usize) -> ServerEntry {
    ServerEntry {
        id: id(&format!("desk-{number}")),
        service: id("desk"),
        address: ([127, 0, 0, 1], (number % 50_000) as u16 + 1_000).into(),
        zone: zone(number % (REGIONS * ZONES_PER_REGION)),
        slots: SLOTS,
        state: ServerState::Ready,
        warmup_left_ms: 0,
        started_unix_ms: 1_000,
        sequence: 1,
    }
}

fn zone(number: usize) -> ids::AvailabilityZoneId {
    let (region, zone) = (number / ZONES_PER_REGION, number % ZONES_PER_REGION);
    id(&format!("zone-{region}-{zone}"))
}

fn region(number: usize) -> ids::RegionId {
    id(&format!("region-{}", number / ZONES_PER_REGION))
}

fn route() -> Route {
    Route {
        name: "look".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/look/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 2_000,
        objective_ms: 1_000,
        priority: 0,
        attempts: 2,
        has_affinity: true,
        allowed_regions: Vec::new(),
        is_open: false,
        destinations: vec![Destination {
            service: id("desk"),
            weight: 1,
        }],
    }
}

fn id<T: core::str::FromStr<Err: core::fmt::Debug>>(name: &str) -> T {
    name.parse().expect("names of the measurement are valid")
}
