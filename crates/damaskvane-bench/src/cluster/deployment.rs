//! The shape of a deployment.
//!
//! ```
//! use damaskvane_bench::cluster;
//!
//! let grid = cluster::Deployment::grid(2, 2, 3);
//! assert_eq!(grid.instances().count(), 12);
//! ```

/// An availability zone with its entry instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Its region.
    pub region: String,
    /// Its name.
    pub name: String,
    /// How many entry instances it has.
    pub entries: usize,
}

impl Zone {
    /// The names of its entry instances.
    pub fn instances(&self) -> impl Iterator<Item = String> + '_ {
        (1..=self.entries).map(|number| format!("{}-{number}", self.name))
    }
}

/// A service with its backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// How many backend servers it has over all zones.
    pub servers: usize,
    /// How many slots each has.
    pub slots: u32,
    /// How many connections each takes.
    pub connections: u32,
    /// How long a request runs in the middle, in milliseconds.
    pub service_ms: u64,
    /// What steering weighs most.
    pub policy: &'static str,
}

/// A backend server and its zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    /// Its name.
    pub server: String,
    /// Its zone.
    pub zone: String,
}

/// Regions, zones, entry instances, services and links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// All zones, a region's one after another.
    pub zones: Vec<Zone>,
    /// All services.
    pub services: Vec<Service>,
    /// What each link between two regions carries, each way.
    pub link_mbps: u64,
    /// How long clients may keep a look-up answer, in milliseconds.
    pub lookup_ttl_ms: u64,
}

/// How long a request of the deployments runs in the middle.
const SERVICE_MS: u64 = 40;
/// The time to live of look-up answers.
const LOOKUP_TTL_MS: u64 = 1_000;

impl Deployment {
    /// Prairie Green Room's sizes.
    #[must_use]
    pub fn prairie() -> Self {
        let service = |name: &str, servers, slots| Service {
            name: name.to_owned(),
            servers,
            slots,
            connections: 330,
            service_ms: SERVICE_MS,
            policy: "latency",
        };
        Self {
            name: "prairie".to_owned(),
            zones: zones(&["sask", "mb", "ab"], &[2, 2, 2, 2, 2, 2]),
            services: vec![
                service("rider-desk", 20, 6),
                service("backstage-ops", 12, 3),
            ],
            link_mbps: 4_000,
            lookup_ttl_ms: LOOKUP_TTL_MS,
        }
    }

    /// Valokirja's sizes.
    #[must_use]
    pub fn valokirja() -> Self {
        let service = |name: &str, servers, slots| Service {
            name: name.to_owned(),
            servers,
            slots,
            connections: 390,
            service_ms: SERVICE_MS,
            policy: "headroom",
        };
        Self {
            name: "valokirja".to_owned(),
            zones: zones(&["uusimaa", "pirkanmaa", "pohjois"], &[2, 1, 2, 1, 1, 1]),
            services: vec![service("logbook", 28, 7), service("faultdesk", 12, 4)],
            link_mbps: 280,
            lookup_ttl_ms: LOOKUP_TTL_MS,
        }
    }

    /// `regions` times `zones` times `entries` instances with one service, a server in each zone.
    #[must_use]
    pub fn grid(regions: usize, zones_each: usize, entries: usize) -> Self {
        let names: Vec<String> = (1..=regions)
            .map(|number| format!("region{number}"))
            .collect();
        let mut zones = Vec::new();
        for region in &names {
            for number in 1..=zones_each {
                let name = format!("{region}-z{number}");
                zones.push(Zone {
                    region: region.clone(),
                    name,
                    entries,
                });
            }
        }
        let service = Service {
            name: "rider-desk".to_owned(),
            servers: zones.len(),
            slots: 6,
            connections: 330,
            service_ms: SERVICE_MS,
            policy: "latency",
        };
        Self {
            name: format!("grid-{regions}x{zones_each}x{entries}"),
            zones,
            services: vec![service],
            link_mbps: 4_000,
            lookup_ttl_ms: LOOKUP_TTL_MS,
        }
    }

    /// A deployment by name: `prairie`, `valokirja` or `RxZxE`.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "prairie" => Some(Self::prairie()),
            "valokirja" => Some(Self::valokirja()),
            _ => {
                let sizes: Vec<usize> = name
                    .split('x')
                    .filter_map(|part| part.parse().ok())
                    .collect();
                let [regions, zones, entries] = sizes[..] else {
                    return None;
                };
                Some(Self::grid(regions, zones, entries))
            }
        }
    }

    /// All zones.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.zones.iter()
    }

    /// The names of the regions in order.
    #[must_use]
    pub fn regions(&self) -> Vec<&str> {
        let mut regions: Vec<&str> = self.zones.iter().map(|zone| zone.region.as_str()).collect();
        regions.dedup();
        regions
    }

    /// Every entry instance with its zone.
    pub fn instances(&self) -> impl Iterator<Item = (String, &Zone)> {
        let of_zone = |zone| Zone::instances(zone).map(move |instance| (instance, zone));
        self.zones.iter().flat_map(of_zone)
    }

    /// The backend servers of a service, spread over the zones in turn.
    #[must_use]
    pub fn placements(&self, service: &Service) -> Vec<Placement> {
        let place = |number: usize| {
            let zone = &self.zones[number % self.zones.len()].name;
            let in_zone = number / self.zones.len() + 1;
            Placement {
                server: format!("{}-{zone}-{in_zone}", service.name),
                zone: zone.clone(),
            }
        };
        (0..service.servers).map(place).collect()
    }

    /// The slots of all backend servers.
    #[must_use]
    pub fn slots(&self) -> u64 {
        let of = |service: &Service| service.servers as u64 * u64::from(service.slots);
        self.services.iter().map(of).sum()
    }
}

fn zones(regions: &[&str], entries: &[usize]) -> Vec<Zone> {
    let letters = ["a", "b"];
    let names = regions
        .iter()
        .flat_map(|region| letters.map(|letter| (*region, letter)));
    names
        .zip(entries)
        .map(|((region, letter), entries)| Zone {
            region: region.to_owned(),
            name: format!("{region}-{letter}"),
            entries: *entries,
        })
        .collect()
}
