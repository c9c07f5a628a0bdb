//! A modelled deployment: zones and their callers, services and their servers, kinds of request.

use std::collections::HashMap;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::configuration::{
    Configuration, Destination, Limits, Route, RouteKind, Service,
};
use damaskvane_routing::pool::{PoolSettings, ServerEntry, ServerPool, ServerState};

/// Round trips within a zone, between zones of a region, and between regions.
const ROUND_TRIPS_MS: [u64; 3] = [1, 7, 24];
const BASE_PORT: u16 = 1_000;

/// An availability zone and its callers.
#[derive(Debug, Clone)]
pub(super) struct Zone {
    pub(super) name: String,
    pub(super) region: usize,
    /// Its part of all requests.
    pub(super) callers: f64,
    pub(super) instances: usize,
}

/// A service and what its servers are like.
#[derive(Debug, Clone)]
pub(super) struct ServiceModel {
    pub(super) name: String,
    /// Servers in each zone.
    pub(super) servers: Vec<usize>,
    /// Requests that a server runs at a time.
    pub(super) slots: u32,
    /// Requests that may wait at a server.
    pub(super) queue: usize,
    /// Objects that a server remembers.
    pub(super) remembered: usize,
}

/// One kind of request.
#[derive(Debug, Clone)]
pub(super) struct Kind {
    pub(super) route: Route,
    /// The services that it goes to, with their weights.
    pub(super) services: Vec<(usize, u32)>,
    /// Its share of all requests.
    pub(super) share: f64,
    /// Its mean work at a server that doesn't remember its object.
    pub(super) work_ms: f64,
    /// The part of the work that a remembered object saves.
    pub(super) warm_gain: f64,
    /// What an answer within the objective is worth, and a later one.
    pub(super) worth: f64,
    pub(super) late_worth: f64,
    pub(super) deadline_ms: u64,
    /// Objects of each region.
    pub(super) objects: u64,
    /// How unevenly objects are asked for: the weight of the n-th is n to the power of minus this.
    pub(super) skew: f64,
}

/// A server's place.
#[derive(Debug, Clone)]
pub(super) struct Place {
    pub(super) id: ids::BackendServerId,
    pub(super) service: usize,
    pub(super) zone: usize,
}

/// A deployment under a load.
#[derive(Debug, Clone)]
pub(super) struct Deployment {
    pub(super) zones: Vec<Zone>,
    pub(super) services: Vec<ServiceModel>,
    pub(super) kinds: Vec<Kind>,
    /// Requests a second of all zones, on a calm day.
    pub(super) per_s: f64,
    /// How far a zone's requests swing around their mean.
    pub(super) swing: f64,
}

impl Deployment {
    /// The larger service of one of the users: three regions of two zones, of which one has a third of the callers and
    /// a tenth of the servers, and two kinds of request.
    pub(super) fn standard() -> Self {
        let zone = |name: &str, region| Zone {
            name: name.to_owned(),
            region,
            callers: 1.0 / 6.0,
            instances: 1,
        };
        let look = Kind {
            route: route("look", 250, 2_000, 2),
            services: vec![(0, 1)],
            share: 0.72,
            work_ms: 360.0,
            warm_gain: 0.7,
            worth: 1.0,
            late_worth: 0.2,
            deadline_ms: 2_000,
            objects: 69,
            skew: 0.2,
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
            ..look.clone()
        };
        Self {
            zones: vec![
                zone("sask-a", 0),
                zone("sask-b", 0),
                zone("mb-a", 1),
                zone("mb-b", 1),
                zone("ab-a", 2),
                zone("ab-b", 2),
            ],
            services: vec![ServiceModel {
                name: "rider-desk".to_owned(),
                servers: vec![1, 1, 4, 4, 5, 5],
                slots: 6,
                queue: 18,
                remembered: 59,
            }],
            kinds: vec![look, book],
            per_s: 384.0,
            swing: 0.55,
        }
    }

    pub(super) fn regions(&self) -> usize {
        let regions = self.zones.iter().map(|zone| zone.region + 1);
        regions.max().unwrap_or_default()
    }

    pub(super) fn service_id(&self, service: usize) -> ids::ServiceId {
        id(&self.services[service].name)
    }

    /// The routes with their destinations, and the services.
    pub(super) fn configuration(&self) -> Configuration {
        let routes = self.kinds.iter().map(|kind| Route {
            destinations: kind
                .services
                .iter()
                .map(|(service, weight)| Destination {
                    service: self.service_id(*service),
                    weight: *weight,
                })
                .collect(),
            ..kind.route.clone()
        });
        let services = (0..self.services.len()).map(|service| Service {
            id: self.service_id(service),
            health_path: "/health".to_owned(),
            max_connections: 330,
            warmup_ms: 3_000,
            warmup_per_s: 13.0,
        });
        Configuration::new(
            ids::ConfigVersion::new(1),
            routes.collect::<Vec<_>>(),
            services.collect::<Vec<_>>(),
            Limits::default(),
        )
    }

    /// All servers with their places.
    pub(super) fn places(&self) -> Vec<Place> {
        let mut places = Vec::new();
        for (service, model) in self.services.iter().enumerate() {
            for (zone, count) in model.servers.iter().enumerate() {
                let name = &self.zones[zone].name;
                places.extend((0..*count).map(|number| Place {
                    id: id(&format!("{}-{name}-{number}", model.name)),
                    service,
                    zone,
                }));
            }
        }
        places
    }

    pub(super) fn zone_id(&self, zone: usize) -> ids::AvailabilityZoneId {
        id(&self.zones[zone].name)
    }

    pub(super) fn region_id(&self, zone: usize) -> ids::RegionId {
        id(&format!("region-{}", self.zones[zone].region))
    }

    /// The pool of servers as an instance reads it at its start.
    pub(super) fn pool(&self) -> ServerPool {
        let zones = 0..self.zones.len();
        let regions: HashMap<_, _> = zones
            .map(|zone| (self.zone_id(zone), self.region_id(zone)))
            .collect();
        let mut pool = ServerPool::new(PoolSettings {
            regions,
            ..PoolSettings::default()
        });
        for (number, place) in self.places().into_iter().enumerate() {
            let entry = ServerEntry {
                id: place.id,
                service: self.service_id(place.service),
                address: ([127, 0, 0, 1], BASE_PORT + number as u16).into(),
                zone: self.zone_id(place.zone),
                slots: self.services[place.service].slots,
                state: ServerState::Ready,
                warmup_left_ms: 0,
                started_unix_ms: 1_000,
                sequence: 1,
            };
            pool.apply(TimeMs::ZERO, entry);
        }
        pool
    }

    pub(super) fn round_trip_ms(&self, one: usize, other: usize) -> u64 {
        match (
            one == other,
            self.zones[one].region == self.zones[other].region,
        ) {
            (true, _) => ROUND_TRIPS_MS[0],
            (false, true) => ROUND_TRIPS_MS[1],
            (false, false) => ROUND_TRIPS_MS[2],
        }
    }
}

/// A route without destinations; those of its kind count.
pub(super) fn route(name: &str, objective_ms: u64, timeout_ms: u64, priority: u32) -> Route {
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
        is_open: false,
        destinations: Vec::new(),
    }
}

/// The value of a name that the model makes.
pub(super) fn id<T: core::str::FromStr<Err: core::fmt::Debug>>(name: &str) -> T {
    name.parse().expect("names of the model are valid")
}
