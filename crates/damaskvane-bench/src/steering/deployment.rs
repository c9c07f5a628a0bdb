//! The two deployments at today's sizes.
//!
//! ```
//! use damaskvane_bench::steering;
//!
//! assert_eq!("valokirja".parse(), Ok(steering::DeploymentName::Valokirja));
//! ```

use core::{fmt, str};

use damaskvane_core::{ids, units};
use damaskvane_steering::input;

use crate::arguments;

/// Zones of a region.
const LETTERS: [&str; 2] = ["a", "b"];

/// A deployment of today.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeploymentName {
    /// Prairie Green Room Collective.
    Prairie,
    /// Valokirja Oy.
    Valokirja,
}

impl DeploymentName {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Prairie, Self::Valokirja];
}

impl fmt::Display for DeploymentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Prairie => "prairie",
            Self::Valokirja => "valokirja",
        })
    }
}

impl str::FromStr for DeploymentName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        arguments::named(&Self::ALL, text, "deployment")
    }
}

struct Sizes {
    name: &'static str,
    servers: u32,
    slots: u32,
    connections: u32,
    time_ms: u32,
}

/// A service as the run needs it, by zone index.
#[derive(Debug, Clone)]
pub(super) struct ServiceSizes {
    pub(super) id: ids::ServiceId,
    pub(super) slots: Vec<u32>,
    pub(super) time_ms: u32,
    pub(super) clients_per_zone: u32,
}

/// A deployment with its topology, and zones by index.
#[derive(Debug, Clone)]
pub(super) struct Deployment {
    pub(super) topology: input::Topology,
    pub(super) zones: Vec<ids::AvailabilityZoneId>,
    pub(super) regions: Vec<usize>,
    pub(super) services: Vec<ServiceSizes>,
    nearest: Vec<Vec<usize>>,
}

impl Deployment {
    pub(super) fn new(name: DeploymentName) -> Self {
        match name {
            DeploymentName::Prairie => build(
                ["ab", "mb", "sask"],
                &[
                    Sizes {
                        name: "rider-desk",
                        servers: 20,
                        slots: 6,
                        connections: 330,
                        time_ms: 100,
                    },
                    Sizes {
                        name: "backstage-ops",
                        servers: 12,
                        slots: 3,
                        connections: 330,
                        time_ms: 200,
                    },
                ],
                input::Latency {
                    to_clients_ms: 3,
                    between_zones_ms: 3,
                    between_regions_ms: 12,
                },
                4_000,
            ),
            DeploymentName::Valokirja => build(
                ["pirkanmaa", "pohjois", "uusimaa"],
                &[
                    Sizes {
                        name: "logbook",
                        servers: 28,
                        slots: 7,
                        connections: 390,
                        time_ms: 100,
                    },
                    Sizes {
                        name: "faultdesk",
                        servers: 12,
                        slots: 4,
                        connections: 390,
                        time_ms: 200,
                    },
                ],
                input::Latency {
                    to_clients_ms: 8,
                    between_zones_ms: 5,
                    between_regions_ms: 55,
                },
                280,
            ),
        }
    }

    pub(super) fn capacity_rps(&self, service: usize, zone: usize) -> f64 {
        let service = &self.services[service];
        f64::from(service.slots[zone]) * 1_000.0 / f64::from(service.time_ms)
    }

    pub(super) fn total_capacity_rps(&self, service: usize) -> f64 {
        (0..self.zones.len())
            .map(|zone| self.capacity_rps(service, zone))
            .sum()
    }

    pub(super) fn latency_ms(&self, source: usize, destination: usize) -> f64 {
        f64::from(
            self.topology
                .latency_ms(&self.zones[source], &self.zones[destination]),
        )
    }

    /// Zones by their distance from a source, the source first.
    pub(super) fn nearest(&self, source: usize) -> &[usize] {
        &self.nearest[source]
    }
}

fn by_distance(
    topology: &input::Topology,
    zones: &[ids::AvailabilityZoneId],
    source: usize,
) -> Vec<usize> {
    let mut nearest: Vec<_> = (0..zones.len()).collect();
    nearest.sort_by_key(|zone| {
        let latency_ms = topology.latency_ms(&zones[source], &zones[*zone]);
        (latency_ms, (*zone + zones.len() - source) % zones.len())
    });
    nearest
}

fn build(
    regions: [&str; 3],
    sizes: &[Sizes],
    latency: input::Latency,
    link_mbit: u32,
) -> Deployment {
    let mut topology = input::Topology {
        latency,
        ..input::Topology::default()
    };
    for region in regions {
        for letter in LETTERS {
            let zone = parse(&format!("{region}-{letter}"));
            topology.zones.insert(zone, parse(region));
        }
    }
    let pairs = [(0, 1), (0, 2), (1, 2)];
    for (left, right) in pairs {
        let link = (parse(regions[left]), parse(regions[right]));
        topology
            .links
            .insert(link, units::MegabitsPerSecond::new(link_mbit));
    }
    let zones: Vec<ids::AvailabilityZoneId> = topology.zones.keys().cloned().collect();
    let services: Vec<_> = sizes
        .iter()
        .map(|sizes| service_sizes(sizes, zones.len()))
        .collect();
    for service in &services {
        let slots = zones
            .iter()
            .cloned()
            .zip(service.slots.iter().copied().map(units::Slots::new));
        let declared = input::Service {
            typical_time_ms: service.time_ms,
            slots: slots.collect(),
            ..input::Service::default()
        };
        topology.services.insert(service.id.clone(), declared);
    }
    let sources = 0..zones.len();
    Deployment {
        nearest: sources
            .map(|source| by_distance(&topology, &zones, source))
            .collect(),
        topology,
        regions: (0..zones.len()).map(|zone| zone / LETTERS.len()).collect(),
        zones,
        services,
    }
}

/// Deals the backend servers out to the zones in turn.
fn service_sizes(sizes: &Sizes, zones: usize) -> ServiceSizes {
    let mut slots = vec![0; zones];
    for server in 0..sizes.servers as usize {
        slots[server % zones] += sizes.slots;
    }
    ServiceSizes {
        id: parse(sizes.name),
        slots,
        time_ms: sizes.time_ms,
        clients_per_zone: sizes.servers * sizes.connections / zones as u32,
    }
}

/// Names in this module are constants; one that does not parse is a mistake in this file.
fn parse<T: str::FromStr>(text: &str) -> T
where
    T::Err: fmt::Debug,
{
    text.parse().expect("a constant name of this module parses")
}
