//! The modelled deployment: three regions of two zones, one service, two kinds of request.
//!
//! The sizes are those of the larger service of Prairie Green Room Collective.

use std::collections::HashMap;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::configuration::{
    Configuration, Destination, Limits, Route, RouteKind, Service,
};
use damaskvane_routing::pool::{PoolSettings, ServerEntry, ServerPool, ServerState};

/// Zones with their regions and servers. A region with a third of the callers has a tenth of the servers.
pub(super) const ZONES: [(&str, &str, usize); 6] = [
    ("sask-a", "sask", 1),
    ("sask-b", "sask", 1),
    ("mb-a", "mb", 4),
    ("mb-b", "mb", 4),
    ("ab-a", "ab", 5),
    ("ab-b", "ab", 5),
];
/// Slots of a server.
pub(super) const SLOTS: u32 = 6;
/// Requests that may wait at a server.
pub(super) const QUEUE: usize = 18;
/// Objects that a server remembers.
pub(super) const REMEMBERED: usize = 59;
/// What a remembered object saves of the work.
pub(super) const WARM_GAIN: f64 = 0.7;
/// Round trips within a zone, between zones of a region, and between regions.
const ROUND_TRIPS_MS: [u64; 3] = [1, 7, 24];
const SERVICE: &str = "rider-desk";

/// One kind of request.
#[derive(Debug, Clone)]
pub(super) struct Kind {
    pub(super) route: Route,
    /// Its share of all requests.
    pub(super) share: f64,
    /// Its mean work at a server that doesn't remember its object.
    pub(super) work_ms: f64,
    /// What an answer within the objective is worth, and a later one.
    pub(super) worth: f64,
    pub(super) late_worth: f64,
    pub(super) deadline_ms: u64,
    /// Objects of each region.
    pub(super) objects: u64,
}

pub(super) fn kinds() -> [Kind; 2] {
    let look = Kind {
        route: route("look", 250, 2_000, 2),
        share: 0.72,
        work_ms: 360.0,
        worth: 1.0,
        late_worth: 0.2,
        deadline_ms: 2_000,
        objects: 69,
    };
    let book = Kind {
        route: Route {
            kind: RouteKind::NonIdempotent,
            ..route("book", 300, 800, 1)
        },
        share: 0.28,
        work_ms: 480.0,
        worth: 2.0,
        late_worth: 0.4,
        deadline_ms: 2_500,
        objects: 26,
    };
    [look, book]
}

fn route(name: &str, objective_ms: u64, timeout_ms: u64, priority: u32) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Idempotent,
        timeout_ms,
        objective_ms,
        priority,
        attempts: 2,
        has_affinity: true,
        allowed_regions: Vec::new(),
        destinations: vec![Destination {
            service: service(),
            weight: 1,
        }],
    }
}

pub(super) fn service() -> ids::ServiceId {
    id(SERVICE)
}

/// The value of a name that stands in this file.
pub(super) fn id<T: core::str::FromStr<Err: core::fmt::Debug>>(name: &str) -> T {
    name.parse().expect("names of the model are valid")
}

pub(super) fn configuration() -> Configuration {
    let service = Service {
        id: service(),
        health_path: "/health".to_owned(),
        max_connections: 330,
        warmup_ms: 3_000,
        warmup_per_s: 13.0,
    };
    let routes = kinds().map(|kind| kind.route);
    Configuration::new(
        ids::ConfigVersion::new(1),
        routes,
        [service],
        Limits::default(),
    )
}

pub(super) fn regions() -> HashMap<ids::AvailabilityZoneId, ids::RegionId> {
    let named = ZONES.iter();
    named
        .map(|(zone, region, _)| (id(zone), id(region)))
        .collect()
}

/// The name and zone of every server.
pub(super) fn servers() -> Vec<(ids::BackendServerId, &'static str)> {
    let zones = ZONES.iter();
    let named = zones.flat_map(|(zone, _, count)| {
        (0..*count).map(move |number| (id(&format!("{zone}-{number}")), *zone))
    });
    named.collect()
}

pub(super) fn pool() -> ServerPool {
    let mut pool = ServerPool::new(PoolSettings {
        regions: regions(),
        ..PoolSettings::default()
    });
    for (number, (server, zone)) in servers().into_iter().enumerate() {
        let entry = ServerEntry {
            id: server,
            service: service(),
            address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
            zone: id(zone),
            slots: SLOTS,
            state: ServerState::Ready,
            warmup_left_ms: 0,
            started_unix_ms: 1_000,
            sequence: 1,
        };
        pool.apply(TimeMs::ZERO, entry);
    }
    pool
}

pub(super) fn round_trip_ms(one: &str, other: &str) -> u64 {
    let region = |zone: &str| {
        ZONES
            .iter()
            .find(|entry| entry.0 == zone)
            .map(|entry| entry.1)
    };
    match (one == other, region(one) == region(other)) {
        (true, _) => ROUND_TRIPS_MS[0],
        (false, true) => ROUND_TRIPS_MS[1],
        (false, false) => ROUND_TRIPS_MS[2],
    }
}
