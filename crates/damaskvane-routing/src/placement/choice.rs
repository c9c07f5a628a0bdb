//! What placement decides.

use std::net;

use damaskvane_core::ids;

/// Why an object's first server was passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PassedOver {
    /// It is cold, and has its share of requests for this second.
    Cold,
    /// It is at the limit of its load.
    Full,
    /// Its last exchanges hang.
    Stalled,
    /// Part of its exchanges failed lately.
    Failing,
    /// It takes longer than others.
    Slow,
    /// It has a queue.
    Busy,
    /// Another one wins more for other reasons.
    Outbid,
}

impl PassedOver {
    /// The reason as a word for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cold => "cold",
            Self::Full => "full",
            Self::Stalled => "stalled",
            Self::Failing => "failing",
            Self::Slow => "slow",
            Self::Busy => "busy",
            Self::Outbid => "outbid",
        }
    }
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// The server.
    pub server: ids::BackendServerId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: ids::AvailabilityZoneId,
    /// How long the request should take there, the way there and back included.
    pub expected_ms: f64,
    /// How long it should take there if the server doesn't remember its object.
    pub first_ms: f64,
    /// What it will take there at least.
    pub min_ms: f64,
    /// Whether the server is taken to remember the object.
    pub is_warm: bool,
    /// Whether this instance has sent it the object lately.
    pub was_sent: bool,
    /// What a request usually takes there if the object is remembered, the way there and back included.
    pub remembered_ms: f64,
    /// Why the object's first server was passed over, if it was.
    pub passed_over: Option<PassedOver>,
    /// Its load for each slot, as estimated.
    pub load: f64,
    /// Its place in the object's order of servers; 0 is the first.
    pub rank: usize,
}

/// Why a request is refused without being sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No server of the service may and can be used.
    NoServer,
    /// All servers of the object are at the limit for this priority.
    Overloaded,
    /// The cold servers that are left have their share for this second.
    Cold,
    /// It can't be answered in the time that is left.
    TooLate,
}

impl RefusalReason {
    /// The reason as a word for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::Overloaded => "overloaded",
            Self::Cold => "cold",
            Self::TooLate => "too_late",
        }
    }
}

/// A refusal: the request has not run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the client should come back.
    pub retry_after_ms: u64,
}

/// The decision on one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send it.
    Send(Pick),
    /// Refuse it.
    Refuse(Refusal),
}
