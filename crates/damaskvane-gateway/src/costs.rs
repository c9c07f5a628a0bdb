//! What the instance causes that its users pay for, by cause: bytes between zones, calls on the store, connections.
//!
//! Counters are found by place, not by name, so that counting costs a request nothing that one would notice.

use std::net;

use damaskvane_core::ids;
use damaskvane_routing::placement::Pick;
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

use crate::node::Node;

/// How far apart two ends are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// In one availability zone.
    Zone,
    /// In two zones of a region.
    Region,
    /// In two regions.
    Far,
}

/// What bytes are carried for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// A request at the first server of its object, and its answer.
    Placed,
    /// The same at another server.
    Overflow,
    /// A second try.
    Retry,
    /// Heartbeats.
    Heartbeat,
    /// Instances that started or changed their phase.
    News,
    /// Digests of zones.
    Digest,
    /// What is told of servers.
    Servers,
    /// Reports of what clients asked for.
    Asked,
    /// Verdicts on popular objects.
    Verdicts,
    /// Requests that crashed servers.
    Incident,
    /// Changes of the store that are handed on.
    Feed,
}

/// Why a connection to a backend server was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenReason {
    /// None was kept.
    NoIdleConnection,
    /// Those that were kept had been closed.
    IdleConnectionsClosed,
    /// The server was probed.
    Probe,
}

const DISTANCES: [(Distance, &str); 3] = [
    (Distance::Zone, "zone"),
    (Distance::Region, "region"),
    (Distance::Far, "far"),
];
const FLOWS: [(Flow, &str); 11] = [
    (Flow::Placed, "placed"),
    (Flow::Overflow, "overflow"),
    (Flow::Retry, "retry"),
    (Flow::Heartbeat, "heartbeat"),
    (Flow::News, "news"),
    (Flow::Digest, "digest"),
    (Flow::Servers, "servers"),
    (Flow::Asked, "asked"),
    (Flow::Verdicts, "verdicts"),
    (Flow::Incident, "incident"),
    (Flow::Feed, "feed"),
];
const OPENINGS: [(OpenReason, &str); 3] = [
    (OpenReason::NoIdleConnection, "none_kept"),
    (OpenReason::IdleConnectionsClosed, "kept_closed"),
    (OpenReason::Probe, "probe"),
];

/// The counters, and the names under which the log tells them.
#[derive(Debug)]
pub struct Costs {
    bytes: Vec<IntCounter>,
    openings: Vec<IntCounter>,
    names: Vec<String>,
}

impl Costs {
    /// All counters at zero.
    ///
    /// # Errors
    ///
    /// Fails if the registry has metrics of these names.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let labels = &["flow", "distance"];
        let bytes = IntCounterVec::new(
            Opts::new("carried_bytes_total", "Bytes sent and read"),
            labels,
        )?;
        registry.register(Box::new(bytes.clone()))?;
        let openings = IntCounterVec::new(
            Opts::new("openings_total", "Connections opened to servers"),
            &["reason"],
        )?;
        registry.register(Box::new(openings.clone()))?;
        let mut costs = Self {
            bytes: Vec::new(),
            openings: Vec::new(),
            names: Vec::new(),
        };
        for (_, flow) in FLOWS {
            for (_, distance) in DISTANCES {
                costs.bytes.push(bytes.with_label_values(&[flow, distance]));
                costs.names.push(format!("bytes.{flow}.{distance}"));
            }
        }
        for (_, reason) in OPENINGS {
            costs.openings.push(openings.with_label_values(&[reason]));
            costs.names.push(format!("openings.{reason}"));
        }
        Ok(costs)
    }

    /// Notes bytes, heads included and what the transport adds left out.
    pub fn record_bytes(&self, flow: Flow, distance: Distance, bytes: usize) {
        let place = flow as usize * DISTANCES.len() + distance as usize;
        self.bytes[place].inc_by(bytes as u64);
    }

    /// Notes a connection that is opened.
    pub fn record_connection(&self, reason: OpenReason) {
        self.openings[reason as usize].inc();
    }

    /// All counters that are not zero, by name.
    pub fn figures(&self) -> impl Iterator<Item = (&str, u64)> {
        let counters = self.bytes.iter().chain(&self.openings);
        let named = self.names.iter().map(String::as_str).zip(counters);
        let figures = named.map(|(name, counter)| (name, counter.get()));
        figures.filter(|(_, count)| *count > 0)
    }
}

impl Distance {
    /// How far a zone is from the instance's own.
    #[must_use]
    pub fn to_zone(node: &Node, zone: &ids::AvailabilityZoneId) -> Self {
        let settings = node.settings();
        if *zone == settings.zone {
            Self::Zone
        } else if settings.regions.get(zone) == Some(&settings.region) {
            Self::Region
        } else {
            Self::Far
        }
    }

    /// How far another instance is; one that isn't known counts as far.
    #[must_use]
    pub fn to_instance(node: &Node, address: net::IpAddr) -> Self {
        let zone = node.state.borrow().members.zone_at(address).cloned();
        zone.map_or(Self::Far, |zone| Self::to_zone(node, &zone))
    }
}

impl Flow {
    /// What a request to this server is carried for.
    #[must_use]
    pub const fn for_pick(pick: &Pick, is_retry: bool) -> Self {
        if is_retry {
            Self::Retry
        } else if pick.rank == 0 {
            Self::Placed
        } else {
            Self::Overflow
        }
    }
}
