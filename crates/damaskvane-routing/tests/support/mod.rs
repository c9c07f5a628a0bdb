//! Builders of configurations, servers, pools and requests for the tests of this crate.
#![allow(dead_code, unreachable_pub, reason = "each test file uses its part")]

pub mod statements;

use std::collections::HashMap;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::configuration::{
    Configuration, Destination, Limits, Route, RouteKind, Service,
};
use damaskvane_routing::peers::{Heartbeat, ListedInstance};
use damaskvane_routing::placement::{Choice, Pick, PlacementRequest, PlacementSettings, Placer};
use damaskvane_routing::pool::{
    ExchangeEnd, ExchangeId, PoolSettings, ServerEntry, ServerPool, ServerReport, ServerState,
};

pub const SERVICE: &str = "desk";

pub fn at(ms: u64) -> TimeMs {
    TimeMs::new(ms)
}

pub fn service_id() -> ids::ServiceId {
    SERVICE.parse().expect("a valid name")
}

pub fn zone(name: &str) -> ids::AvailabilityZoneId {
    name.parse().expect("a valid name")
}

pub fn server_id(name: &str) -> ids::BackendServerId {
    name.parse().expect("a valid name")
}

pub fn regions() -> HashMap<ids::AvailabilityZoneId, ids::RegionId> {
    [("east-a", "east"), ("east-b", "east"), ("west-a", "west")]
        .into_iter()
        .map(|(zone_name, region)| (zone(zone_name), region.parse().expect("a valid name")))
        .collect()
}

pub fn route() -> Route {
    Route {
        name: "look".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/look/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 2_000,
        objective_ms: 250,
        priority: 0,
        attempts: 2,
        has_affinity: true,
        allowed_regions: Vec::new(),
        is_open: false,
        destinations: vec![Destination {
            service: service_id(),
            weight: 1,
        }],
    }
}

pub fn configuration() -> Configuration {
    let service = Service {
        id: service_id(),
        health_path: "/health".to_owned(),
        max_connections: 100,
        warmup_ms: 3_000,
        warmup_per_s: 13.0,
    };
    Configuration::new(
        ids::ConfigVersion::new(1),
        [route()],
        [service],
        Limits::default(),
    )
}

pub fn entry(name: &str, zone_name: &str) -> ServerEntry {
    let number: u16 = name.bytes().map(u16::from).sum();
    ServerEntry {
        id: server_id(name),
        service: service_id(),
        address: ([10, 0, 0, 1], number).into(),
        zone: zone(zone_name),
        slots: 6,
        state: ServerState::Ready,
        warmup_left_ms: 0,
        started_unix_ms: 1_000,
        sequence: 1,
    }
}

pub fn pool() -> ServerPool {
    ServerPool::new(PoolSettings {
        regions: regions(),
        ..PoolSettings::default()
    })
}

/// Returns a pool with the given number of ready servers in each zone, named by zone and number.
pub fn pool_of(servers: &[(&str, usize)]) -> ServerPool {
    let mut pool = pool();
    for (zone_name, count) in servers {
        for number in 0..*count {
            pool.apply(at(0), entry(&format!("{zone_name}-{number}"), zone_name));
        }
    }
    pool
}

pub fn placer(own_zone: &str) -> Placer {
    let own = zone(own_zone);
    let region = regions()[&own].clone();
    Placer::new(PlacementSettings::default(), own, region)
}

pub fn request<'a>(
    route: &'a Route,
    service: &'a ids::ServiceId,
    object: u64,
) -> PlacementRequest<'a> {
    PlacementRequest {
        team: None,
        route,
        service,
        object: Some(object),
        tried: &[],
        remaining_ms: 2_000,
        spread: 0.5,
    }
}

pub fn choose(pool: &mut ServerPool, own_zone: &str, object: u64) -> Choice {
    let (route, service) = (route(), service_id());
    let request = request(&route, &service, object);
    placer(own_zone).choose(at(1_000), pool, &configuration(), &request, 1)
}

pub fn pick(pool: &mut ServerPool, own_zone: &str, object: u64) -> Pick {
    match choose(pool, own_zone, object) {
        Choice::Send(pick) => pick,
        Choice::Refuse(refusal) => panic!("refused: {:?}", refusal.reason),
    }
}

/// Records `count` requests of this instance that are in flight to a server.
pub fn fill(pool: &mut ServerPool, name: &str, count: u64) {
    let mut server = pool.server_mut(&server_id(name)).expect("a known server");
    for number in 0..count {
        server.record_sent(at(999), ExchangeId(number), 100.0);
    }
}

/// Ends the exchanges with a server that [`fill`] has recorded.
pub fn release(pool: &mut ServerPool, name: &str, count: u64) {
    let mut server = pool.server_mut(&server_id(name)).expect("a known server");
    for number in 0..count {
        let report = ServerReport::default();
        server.record_end(
            at(1_000),
            ExchangeId(number),
            ExchangeEnd::Abandoned,
            report,
        );
    }
}

/// Returns the record by which the platform lists the instance that sent a heartbeat.
pub fn listed(heartbeat: &Heartbeat) -> ListedInstance {
    ListedInstance {
        instance: heartbeat.instance.clone(),
        peer_address: heartbeat.peer_address,
        zone: Some(heartbeat.zone.clone()),
        created: 0,
    }
}
