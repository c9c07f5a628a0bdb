//! Counters of what operators pay for: transferred bytes by flow and distance, and opened connections by reason.
//!
//! A flow is the purpose for which bytes are transferred.
//!
//! Counters are found by index, not by labels, so that counting adds no noticeable cost to a request.

use std::net;

use damaskvane_core::ids;
use damaskvane_routing::placement::Pick;
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

use crate::node::Node;

/// Network distance between this instance and the peer with which it exchanges data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// This instance and the peer are in the same availability zone.
    SameZone,
    /// This instance and the peer are in different availability zones of the same region.
    SameRegion,
    /// This instance and the peer are in different regions, or the peer's zone is not known.
    OtherRegion,
}

/// Purpose for which bytes are transferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// A request to the first server of its object (the item that the request names), and the response.
    Placed,
    /// A request to another server than the first server of its object, and the response.
    Overflow,
    /// A retried request, and the response.
    Retry,
    /// Heartbeats, by which instances report to each other that they are alive.
    Heartbeat,
    /// Membership updates: heartbeats of instances that started or changed their phase (starting, ready, leaving).
    MembershipUpdate,
    /// Digests, which list a zone's live instances for other zones.
    Digest,
    /// Reports on the load and health of backend servers.
    ServerReports,
    /// Reports on which objects clients request.
    PopularityReport,
    /// Decisions on which objects are popular.
    PopularityDecisions,
    /// Notices of incidents, which are crashes of backend servers that were running requests.
    Incident,
    /// Changes of the store that are sent to other instances.
    Feed,
    /// Limits that backend servers name.
    ServerLimits,
    /// What backend servers have said of rests and of leaving.
    ServerStatements,
    /// Tokens of servers with a limit, and requests for them.
    Tokens,
    /// Tokens of teams' quotas, and requests for them.
    Quota,
    /// Bytes between a backend server and another instance, which this instance copies.
    Tunnel,
}

/// Reason for which a connection to a backend server was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenReason {
    /// This instance had no idle connection to the server that it could reuse.
    NoIdleConnection,
    /// This instance had idle connections to the server, but all of them had been closed.
    IdleConnectionsClosed,
    /// A health probe needs a new connection.
    Probe,
    /// Another instance that doesn't reach the server needs the connection.
    Tunnel,
}

const DISTANCES: [(Distance, &str); 3] = [
    (Distance::SameZone, "zone"),
    (Distance::SameRegion, "region"),
    (Distance::OtherRegion, "far"),
];
const FLOWS: [(Flow, &str); 16] = [
    (Flow::Placed, "placed"),
    (Flow::Overflow, "overflow"),
    (Flow::Retry, "retry"),
    (Flow::Heartbeat, "heartbeat"),
    (Flow::MembershipUpdate, "news"),
    (Flow::Digest, "digest"),
    (Flow::ServerReports, "servers"),
    (Flow::PopularityReport, "asked"),
    (Flow::PopularityDecisions, "verdicts"),
    (Flow::Incident, "incident"),
    (Flow::Feed, "feed"),
    (Flow::ServerLimits, "limits"),
    (Flow::ServerStatements, "statements"),
    (Flow::Tokens, "tokens"),
    (Flow::Quota, "quota"),
    (Flow::Tunnel, "tunnel"),
];
const OPEN_REASONS: [(OpenReason, &str); 4] = [
    (OpenReason::NoIdleConnection, "none_kept"),
    (OpenReason::IdleConnectionsClosed, "kept_closed"),
    (OpenReason::Probe, "probe"),
    (OpenReason::Tunnel, "tunnel"),
];

/// Counters of transferred bytes and opened connections, with their names in the log.
#[derive(Debug)]
pub struct Costs {
    bytes: Vec<IntCounter>,
    connections: Vec<IntCounter>,
    names: Vec<String>,
}

impl Costs {
    /// Creates all counters at zero and registers them.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has metrics of these names.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let labels = &["flow", "distance"];
        let bytes = IntCounterVec::new(
            Opts::new("carried_bytes_total", "Bytes sent and read"),
            labels,
        )?;
        registry.register(Box::new(bytes.clone()))?;
        let connections = IntCounterVec::new(
            Opts::new("openings_total", "Connections opened to servers"),
            &["reason"],
        )?;
        registry.register(Box::new(connections.clone()))?;
        let mut costs = Self {
            bytes: Vec::new(),
            connections: Vec::new(),
            names: Vec::new(),
        };
        for (_, flow) in FLOWS {
            for (_, distance) in DISTANCES {
                costs.bytes.push(bytes.with_label_values(&[flow, distance]));
                costs.names.push(format!("bytes.{flow}.{distance}"));
            }
        }
        for (_, reason) in OPEN_REASONS {
            costs
                .connections
                .push(connections.with_label_values(&[reason]));
            costs.names.push(format!("openings.{reason}"));
        }
        Ok(costs)
    }

    /// Counts transferred bytes: HTTP heads are included, the overhead of TCP and UDP is not.
    pub fn record_bytes(&self, flow: Flow, distance: Distance, bytes: usize) {
        let index = flow as usize * DISTANCES.len() + distance as usize;
        self.bytes[index].inc_by(bytes as u64);
    }

    /// Counts an opened connection.
    pub fn record_connection(&self, reason: OpenReason) {
        self.connections[reason as usize].inc();
    }

    /// Returns the name and value of each counter above zero.
    pub fn nonzero_totals(&self) -> impl Iterator<Item = (&str, u64)> {
        let counters = self.bytes.iter().chain(&self.connections);
        let named = self.names.iter().map(String::as_str).zip(counters);
        let totals = named.map(|(name, counter)| (name, counter.get()));
        totals.filter(|(_, count)| *count > 0)
    }
}

impl Distance {
    /// Returns the distance from this instance's zone to another zone.
    #[must_use]
    pub fn to_zone(node: &Node, zone: &ids::AvailabilityZoneId) -> Self {
        let settings = node.settings();
        if *zone == settings.zone {
            Self::SameZone
        } else if settings.regions.get(zone) == Some(&settings.region) {
            Self::SameRegion
        } else {
            Self::OtherRegion
        }
    }

    /// Returns the distance to another instance; [`Distance::OtherRegion`] if the instance is not known.
    #[must_use]
    pub fn to_instance(node: &Node, address: net::IpAddr) -> Self {
        let zone = node.state.borrow().members.zone_at(address).cloned();
        zone.map_or(Self::OtherRegion, |zone| Self::to_zone(node, &zone))
    }
}

impl Flow {
    /// Returns the flow under which a request to the selected server is counted.
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
