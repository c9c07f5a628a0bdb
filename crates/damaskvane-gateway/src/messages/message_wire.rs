//! Encoded form of the messages between instances. Postcard encodes fields and variants by position.

use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_dispatch::quarantine::{Incident, RequestIdentity};
use damaskvane_routing::peers::{Digest, DigestEntry, Heartbeat, IncarnationKey, Phase};
use damaskvane_routing::placement::{ObjectMove, ObjectSample, PopularityDecision, RouteKey};
use damaskvane_routing::pool::{LoadReport, PeerHealthReport, PeerServerReport, ServerKey};
use serde::{Deserialize, Serialize};

use crate::messages::Message;
use crate::messages::limit_wire::LimitWire;
use crate::messages::quota_wire::QuotaWire;
use crate::messages::statement_wire::StatementWire;
use crate::messages::token_wire::TokenWire;

/// A message in its encoded form.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Wire {
    Heartbeat(HeartbeatWire),
    Digest {
        #[serde(rename = "is_handed_on")]
        is_forwarded: bool,
        entries: Vec<EntryWire>,
    },
    #[serde(rename = "News")]
    MembershipUpdate {
        #[serde(rename = "is_handed_on")]
        is_forwarded: bool,
        heartbeats: Vec<HeartbeatWire>,
    },
    Incident(Incident),
    Completed {
        request: RequestIdentity,
        age: SpanMs,
    },
    #[serde(rename = "Servers")]
    ServerReports(Vec<ServerWire>),
    #[serde(rename = "Asked")]
    PopularityReport(Vec<SampleWire>),
    #[serde(rename = "Verdicts")]
    PopularityDecisions {
        #[serde(rename = "by")]
        aggregator: ids::InstanceId,
        #[serde(rename = "verdicts")]
        decisions: Vec<(u32, u8)>,
        moves: Vec<(u32, u8)>,
    },
    Quota(QuotaWire),
    ServerLimits(Vec<LimitWire>),
    Token(TokenWire),
    ServerStatements {
        sender: ids::InstanceId,
        statements: Vec<StatementWire>,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SampleWire {
    route: u32,
    halvings: u8,
    objects: Vec<(u64, u32)>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct HeartbeatWire {
    instance: ids::InstanceId,
    incarnation: ids::Incarnation,
    serial: u64,
    zone: ids::AvailabilityZoneId,
    client_address: net::SocketAddr,
    peer_address: net::SocketAddr,
    phase: u8,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct EntryWire {
    /// Hash as raw bytes, which are shorter than the hash as an integer of variable length.
    key: [u8; 8],
    serial: u64,
    phase: u8,
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ServerWire {
    server: u32,
    load: Option<LoadWire>,
    health: Option<HealthWire>,
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LoadWire {
    running: u32,
    waiting: u32,
    slots: u32,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct HealthWire {
    slowness_percent: u16,
    failure_percent: u8,
}

impl Wire {
    pub(super) fn of(message: &Message) -> Self {
        match message {
            Message::Heartbeat(heartbeat) => Self::Heartbeat(HeartbeatWire::of(heartbeat)),
            Message::Digest {
                is_forwarded,
                digest,
            } => Self::Digest {
                is_forwarded: *is_forwarded,
                entries: digest.entries.iter().map(EntryWire::of).collect(),
            },
            Message::MembershipUpdate {
                is_forwarded,
                heartbeats,
            } => Self::MembershipUpdate {
                is_forwarded: *is_forwarded,
                heartbeats: heartbeats.iter().map(HeartbeatWire::of).collect(),
            },
            Message::Incident(incident) => Self::Incident(incident.clone()),
            Message::Completed { request, age } => Self::Completed {
                request: *request,
                age: *age,
            },
            Message::ServerReports(reports) => {
                Self::ServerReports(reports.iter().map(ServerWire::of).collect())
            }
            Message::PopularityReport(report) => {
                Self::PopularityReport(report.iter().map(SampleWire::of).collect())
            }
            Message::PopularityDecisions {
                aggregator,
                decisions,
                moves,
            } => Self::PopularityDecisions {
                aggregator: aggregator.clone(),
                decisions: decisions
                    .iter()
                    .map(|one| (one.route.get(), one.steps))
                    .collect(),
                moves: moves.iter().map(|one| (one.object, one.steps)).collect(),
            },
            Message::ServerLimits(reports) => {
                Self::ServerLimits(reports.iter().map(LimitWire::of).collect())
            }
            Message::ServerStatements { sender, statements } => Self::ServerStatements {
                sender: sender.clone(),
                statements: statements.iter().map(StatementWire::of).collect(),
            },
            Message::Quota(message) => Self::Quota(QuotaWire::of(message)),
            Message::Token(message) => Self::Token(TokenWire::of(message)),
        }
    }

    pub(super) fn into_message(self) -> Option<Message> {
        Some(match self {
            Self::Heartbeat(heartbeat) => Message::Heartbeat(heartbeat.into_heartbeat()?),
            Self::Digest {
                is_forwarded,
                entries,
            } => Message::Digest {
                is_forwarded,
                digest: Digest {
                    // Skips entries with a phase of a later version; the other entries are valid.
                    entries: entries.into_iter().filter_map(EntryWire::read).collect(),
                },
            },
            Self::MembershipUpdate {
                is_forwarded,
                heartbeats,
            } => Message::MembershipUpdate {
                is_forwarded,
                // Skips heartbeats with a phase of a later version; the other heartbeats are valid.
                heartbeats: heartbeats
                    .into_iter()
                    .filter_map(HeartbeatWire::into_heartbeat)
                    .collect(),
            },
            Self::Incident(incident) => Message::Incident(incident),
            Self::Completed { request, age } => Message::Completed { request, age },
            Self::ServerReports(reports) => {
                Message::ServerReports(reports.into_iter().map(ServerWire::into_report).collect())
            }
            Self::PopularityReport(samples) => Message::PopularityReport(
                samples.into_iter().map(SampleWire::into_sample).collect(),
            ),
            Self::PopularityDecisions {
                aggregator,
                decisions,
                moves,
            } => Message::PopularityDecisions {
                moves: moves
                    .into_iter()
                    .map(|(object, steps)| ObjectMove { object, steps })
                    .collect(),
                aggregator,
                decisions: decisions
                    .into_iter()
                    .map(|(route, steps)| PopularityDecision {
                        route: RouteKey::from_wire(route),
                        steps,
                    })
                    .collect(),
            },
            Self::ServerLimits(limits) => {
                // Skips limits that are no rate; the others are valid.
                let reports = limits.into_iter().filter_map(LimitWire::into_report);
                Message::ServerLimits(reports.collect())
            }
            Self::ServerStatements { sender, statements } => {
                // Skips statements that name no time; the others are valid.
                let statements = statements.into_iter();
                Message::ServerStatements {
                    sender,
                    statements: statements
                        .filter_map(StatementWire::into_statement)
                        .collect(),
                }
            }
            Self::Quota(message) => Message::Quota(message.into_message()),
            Self::Token(message) => Message::Token(message.into_message()?),
        })
    }
}

impl HeartbeatWire {
    fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            instance: heartbeat.instance.clone(),
            incarnation: heartbeat.incarnation,
            serial: heartbeat.serial,
            zone: heartbeat.zone.clone(),
            client_address: heartbeat.client_address,
            peer_address: heartbeat.peer_address,
            phase: encode_phase(heartbeat.phase),
        }
    }

    fn into_heartbeat(self) -> Option<Heartbeat> {
        Some(Heartbeat {
            instance: self.instance,
            incarnation: self.incarnation,
            serial: self.serial,
            zone: self.zone,
            client_address: self.client_address,
            peer_address: self.peer_address,
            phase: decode_phase(self.phase)?,
        })
    }
}

impl EntryWire {
    fn of(entry: &DigestEntry) -> Self {
        Self {
            key: entry.key.get().to_le_bytes(),
            serial: entry.serial,
            phase: encode_phase(entry.phase),
            age_ms: entry.age_ms,
        }
    }

    fn read(self) -> Option<DigestEntry> {
        Some(DigestEntry {
            key: IncarnationKey::from_wire(u64::from_le_bytes(self.key)),
            serial: self.serial,
            phase: decode_phase(self.phase)?,
            age_ms: self.age_ms,
        })
    }
}

impl SampleWire {
    fn of((route, sample): &(RouteKey, ObjectSample)) -> Self {
        Self {
            route: route.get(),
            halvings: sample.halvings(),
            objects: sample.objects().collect(),
        }
    }

    fn into_sample(self) -> (RouteKey, ObjectSample) {
        let sample = ObjectSample::from_wire(self.halvings, self.objects);
        (RouteKey::from_wire(self.route), sample)
    }
}

impl ServerWire {
    fn of(report: &PeerServerReport) -> Self {
        Self {
            server: report.server.get(),
            load: report.load.map(|load| LoadWire {
                running: load.running,
                waiting: load.waiting,
                slots: load.slots,
            }),
            health: report.health.map(|health| HealthWire {
                slowness_percent: (health.slowness * 100.0) as u16,
                failure_percent: (health.failure_share * 100.0) as u8,
            }),
            age_ms: report.age_ms,
        }
    }

    fn into_report(self) -> PeerServerReport {
        PeerServerReport {
            server: ServerKey::from_wire(self.server),
            load: self.load.map(|load| LoadReport {
                running: load.running,
                waiting: load.waiting,
                slots: load.slots,
            }),
            health: self.health.map(|health| PeerHealthReport {
                slowness: f64::from(health.slowness_percent) / 100.0,
                failure_share: f64::from(health.failure_percent) / 100.0,
            }),
            age_ms: self.age_ms,
        }
    }
}

const fn encode_phase(phase: Phase) -> u8 {
    match phase {
        Phase::Starting => 0,
        Phase::Ready => 1,
        Phase::Leaving => 2,
        Phase::Limited => 3,
    }
}

const fn decode_phase(number: u8) -> Option<Phase> {
    match number {
        0 => Some(Phase::Starting),
        1 => Some(Phase::Ready),
        2 => Some(Phase::Leaving),
        3 => Some(Phase::Limited),
        _ => None,
    }
}
