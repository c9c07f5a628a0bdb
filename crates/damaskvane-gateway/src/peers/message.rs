//! The datagrams between instances and their form on the wire.

use std::net;

use damaskvane_core::ids;
use damaskvane_dispatch::quarantine::Incident;
use damaskvane_routing::peers::{Digest, DigestEntry, Heartbeat, IncarnationKey, Phase};
use damaskvane_routing::placement::{ObjectSample, PopularityDecision, PopularityReport, RouteKey};
use damaskvane_routing::pool::{LoadReport, ServerKey, ToldHealth, ToldServer};
use serde::{Deserialize, Serialize};

use crate::costs::Flow;

/// Tells the protocol from others on the port, and its form from other ones: it changes with the messages.
const MAGIC: u32 = 0x6476_7033;

/// Something that one instance tells another.
#[derive(Debug, Clone)]
pub enum Message {
    /// Where the sender stands.
    Heartbeat(Heartbeat),
    /// What a zone says of its instances.
    Digest {
        /// Whether an instance of the recipient's zone hands it on.
        is_handed_on: bool,
        /// What it says.
        digest: Digest,
    },
    /// Instances of a zone that have started, or changed their phase.
    News {
        /// Whether an instance of the recipient's zone hands it on.
        is_handed_on: bool,
        /// Their heartbeats.
        heartbeats: Vec<Heartbeat>,
    },
    /// A server died with requests on it.
    Incident(Incident),
    /// Servers that have a queue, are slow or fail, or no longer so.
    Servers(Vec<ToldServer>),
    /// What the sender's clients asked for.
    Asked(PopularityReport),
    /// Which objects have a server in each zone, from one that speaks for the zone.
    Verdicts {
        /// Who has judged.
        by: ids::InstanceId,
        /// What it found.
        verdicts: Vec<PopularityDecision>,
    },
}

impl Message {
    /// What its bytes are carried for.
    #[must_use]
    pub const fn flow(&self) -> Flow {
        match self {
            Self::Heartbeat(_) => Flow::Heartbeat,
            Self::Digest { .. } => Flow::Digest,
            Self::News { .. } => Flow::News,
            Self::Incident(_) => Flow::Incident,
            Self::Servers(_) => Flow::Servers,
            Self::Asked(_) => Flow::Asked,
            Self::Verdicts { .. } => Flow::Verdicts,
        }
    }

    /// The bytes of a datagram.
    ///
    /// # Errors
    ///
    /// Fails only if the message can't be encoded at all.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(&(MAGIC, Wire::of(self)))
    }

    /// Reads a datagram; `None` for bytes that are no message of this protocol.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (magic, wire): (u32, Wire) = postcard::from_bytes(bytes).ok()?;
        (magic == MAGIC).then(|| wire.into_message()).flatten()
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum Wire {
    Heartbeat(HeartbeatWire),
    Digest {
        is_handed_on: bool,
        entries: Vec<EntryWire>,
    },
    News {
        is_handed_on: bool,
        heartbeats: Vec<HeartbeatWire>,
    },
    Incident(Incident),
    Servers(Vec<ServerWire>),
    Asked(Vec<SampleWire>),
    Verdicts {
        by: ids::InstanceId,
        verdicts: Vec<(u32, u8)>,
    },
}

#[derive(Debug, Serialize, Deserialize)]
struct SampleWire {
    route: u32,
    halvings: u8,
    objects: Vec<(u32, u32)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct HeartbeatWire {
    instance: ids::InstanceId,
    incarnation: ids::Incarnation,
    serial: u64,
    zone: ids::AvailabilityZoneId,
    client_address: net::SocketAddr,
    peer_address: net::SocketAddr,
    phase: u8,
}

#[derive(Debug, Serialize, Deserialize)]
struct EntryWire {
    /// A hash, whose bytes are shorter as they are than as a number of variable length.
    key: [u8; 8],
    serial: u64,
    phase: u8,
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct ServerWire {
    server: u32,
    load: Option<LoadWire>,
    health: Option<HealthWire>,
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct LoadWire {
    running: u32,
    waiting: u32,
    slots: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct HealthWire {
    slowness_percent: u16,
    failure_percent: u8,
}

impl Wire {
    fn of(message: &Message) -> Self {
        match message {
            Message::Heartbeat(heartbeat) => Self::Heartbeat(HeartbeatWire::of(heartbeat)),
            Message::Digest {
                is_handed_on,
                digest,
            } => Self::Digest {
                is_handed_on: *is_handed_on,
                entries: digest.entries.iter().map(EntryWire::of).collect(),
            },
            Message::News {
                is_handed_on,
                heartbeats,
            } => Self::News {
                is_handed_on: *is_handed_on,
                heartbeats: heartbeats.iter().map(HeartbeatWire::of).collect(),
            },
            Message::Incident(incident) => Self::Incident(incident.clone()),
            Message::Servers(told) => Self::Servers(told.iter().map(ServerWire::of).collect()),
            Message::Asked(report) => Self::Asked(report.iter().map(SampleWire::of).collect()),
            Message::Verdicts { by, verdicts } => Self::Verdicts {
                by: by.clone(),
                verdicts: verdicts
                    .iter()
                    .map(|one| (one.route.get(), one.steps))
                    .collect(),
            },
        }
    }

    fn into_message(self) -> Option<Message> {
        Some(match self {
            Self::Heartbeat(heartbeat) => Message::Heartbeat(heartbeat.into_heartbeat()?),
            Self::Digest {
                is_handed_on,
                entries,
            } => Message::Digest {
                is_handed_on,
                digest: Digest {
                    // An entry in a phase of a later version is left out; the others hold.
                    entries: entries.into_iter().filter_map(EntryWire::read).collect(),
                },
            },
            Self::News {
                is_handed_on,
                heartbeats,
            } => Message::News {
                is_handed_on,
                // One in a phase of a later version is left out; the others hold.
                heartbeats: heartbeats
                    .into_iter()
                    .filter_map(HeartbeatWire::into_heartbeat)
                    .collect(),
            },
            Self::Incident(incident) => Message::Incident(incident),
            Self::Servers(told) => {
                Message::Servers(told.into_iter().map(ServerWire::into_told).collect())
            }
            Self::Asked(samples) => {
                Message::Asked(samples.into_iter().map(SampleWire::into_sample).collect())
            }
            Self::Verdicts { by, verdicts } => Message::Verdicts {
                by,
                verdicts: verdicts
                    .into_iter()
                    .map(|(route, steps)| PopularityDecision {
                        route: RouteKey::from_wire(route),
                        steps,
                    })
                    .collect(),
            },
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
            phase: phase_number(heartbeat.phase),
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
            phase: phase_of(self.phase)?,
        })
    }
}

impl EntryWire {
    fn of(entry: &DigestEntry) -> Self {
        Self {
            key: entry.key.get().to_le_bytes(),
            serial: entry.serial,
            phase: phase_number(entry.phase),
            age_ms: entry.age_ms,
        }
    }

    fn read(self) -> Option<DigestEntry> {
        Some(DigestEntry {
            key: IncarnationKey::from_wire(u64::from_le_bytes(self.key)),
            serial: self.serial,
            phase: phase_of(self.phase)?,
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
    fn of(told: &ToldServer) -> Self {
        Self {
            server: told.server.get(),
            load: told.load.map(|load| LoadWire {
                running: load.running,
                waiting: load.waiting,
                slots: load.slots,
            }),
            health: told.health.map(|health| HealthWire {
                slowness_percent: (health.slowness * 100.0) as u16,
                failure_percent: (health.failure_share * 100.0) as u8,
            }),
            age_ms: told.age_ms,
        }
    }

    fn into_told(self) -> ToldServer {
        ToldServer {
            server: ServerKey::from_wire(self.server),
            load: self.load.map(|load| LoadReport {
                running: load.running,
                waiting: load.waiting,
                slots: load.slots,
            }),
            health: self.health.map(|health| ToldHealth {
                slowness: f64::from(health.slowness_percent) / 100.0,
                failure_share: f64::from(health.failure_percent) / 100.0,
            }),
            age_ms: self.age_ms,
        }
    }
}

const fn phase_number(phase: Phase) -> u8 {
    match phase {
        Phase::Starting => 0,
        Phase::Ready => 1,
        Phase::Leaving => 2,
    }
}

const fn phase_of(number: u8) -> Option<Phase> {
    match number {
        0 => Some(Phase::Starting),
        1 => Some(Phase::Ready),
        2 => Some(Phase::Leaving),
        _ => None,
    }
}
