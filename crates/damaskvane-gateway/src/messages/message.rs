//! Messages between entry instances, and their encoding as datagrams.
//!
//! A heartbeat reports that its sender is alive. An aggregator is an instance that sends messages to other zones for
//! its own zone. The phase of an instance is starting, ready or leaving.

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_dispatch::quarantine::{Incident, RequestIdentity};
use damaskvane_routing::peers::{Digest, Heartbeat};
use damaskvane_routing::placement::{ObjectMove, PopularityDecision, PopularityReport};
use damaskvane_routing::pool::{PeerLimitReport, PeerServerReport, PeerStatement};

use crate::costs::Flow;
use crate::messages::TokenMessage;
use crate::messages::message_wire::Wire;
use crate::quota::QuotaMessage;

/// First field of each datagram; identifies the protocol and its version, and changes whenever a message changes.
const MAGIC: u32 = 0x6476_7036;

/// A message from one entry instance to another.
#[derive(Debug, Clone)]
pub enum Message {
    /// Reports that the sender is alive, with its addresses and phase.
    Heartbeat(Heartbeat),
    /// State of the live instances of a zone, sent by an aggregator of the zone.
    Digest {
        /// Whether the sender is in the recipient's zone, so that the recipient does not forward the message.
        is_forwarded: bool,
        /// Entries of the zone's instances.
        digest: Digest,
    },
    /// Heartbeats of instances that have started or changed their phase. A new instance also receives this message with
    /// all ready instances of other zones.
    MembershipUpdate {
        /// Whether the sender is in the recipient's zone, so that the recipient does not forward the message.
        is_forwarded: bool,
        /// Last heartbeat of each of these instances.
        heartbeats: Vec<Heartbeat>,
    },
    /// The crash of a backend server that was running requests.
    Incident(Incident),
    /// A request that was a suspect completed at the sender.
    Completed {
        /// The request.
        request: RequestIdentity,
        /// The time since the request completed.
        age: SpanMs,
    },
    /// Reports of backend servers that have a queue, are slow or failing, or have recovered.
    ServerReports(Vec<PeerServerReport>),
    /// Samples of the objects (the items that requests name) that the sender's clients request, by route.
    PopularityReport(PopularityReport),
    /// Decisions on which objects are popular enough to have a server in each zone.
    PopularityDecisions {
        /// The aggregator that has made the decisions.
        aggregator: ids::InstanceId,
        /// For each route, the share of its objects that have a server in each zone.
        decisions: Vec<PopularityDecision>,
        /// Popular objects that use another server than the first one of their ring.
        moves: Vec<ObjectMove>,
    },
    /// Limits on their requests that backend servers name, or that they have none any more.
    ServerLimits(Vec<PeerLimitReport>),
    /// What backend servers have said of rests and of leaving.
    ServerStatements {
        /// The instance that sends the message.
        sender: ids::InstanceId,
        /// What the servers have said.
        statements: Vec<PeerStatement>,
    },
    /// Tokens of a team's quota, or a request for them.
    Quota(QuotaMessage),
    /// Tokens of a backend server with a limit, or a request for them.
    Token(TokenMessage),
}

impl Message {
    /// Returns the flow (the label of counters) under which the message's bytes are counted.
    #[must_use]
    pub const fn flow(&self) -> Flow {
        match self {
            Self::Heartbeat(_) => Flow::Heartbeat,
            Self::Digest { .. } => Flow::Digest,
            Self::MembershipUpdate { .. } => Flow::MembershipUpdate,
            Self::Incident(_) | Self::Completed { .. } => Flow::Incident,
            Self::ServerReports(_) => Flow::ServerReports,
            Self::PopularityReport(_) => Flow::PopularityReport,
            Self::PopularityDecisions { .. } => Flow::PopularityDecisions,
            Self::ServerLimits(_) => Flow::ServerLimits,
            Self::ServerStatements { .. } => Flow::ServerStatements,
            Self::Quota(_) => Flow::Quota,
            Self::Token(_) => Flow::Tokens,
        }
    }

    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// Fails if postcard can't encode the message.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(&(MAGIC, Wire::of(self)))
    }

    /// Decodes a datagram; returns `None` if the bytes are not a message of this protocol and version.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (magic, wire): (u32, Wire) = postcard::from_bytes(bytes).ok()?;
        (magic == MAGIC).then(|| wire.into_message()).flatten()
    }
}
