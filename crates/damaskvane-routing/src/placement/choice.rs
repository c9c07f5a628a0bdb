//! Results of placement: the selected server, or a refusal with its reason.
//!
//! An object is the item that a client's request names; all instances try its servers in the same order. A slot is a
//! server's capacity to run one request at a time. A cold server has started recently and gets few requests.

use std::net;

use damaskvane_core::ids;

/// The reason why an object's first server was not selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SkipReason {
    /// The server is cold and has received the requests that this instance may send to it in this second.
    Cold,
    /// The server limits the rate of its requests, and this instance gets no token for it now.
    Limited,
    /// The server wants no request from this instance, or not so many yet after a rest.
    Resting,
    /// The server's load is at the limit for the request's priority.
    Full,
    /// A request to the server has been waiting for its response far longer than usual.
    Stalled,
    /// A considerable share of the recent requests to the server failed.
    Failing,
    /// The server takes considerably longer for requests than servers usually take.
    Slow,
    /// All slots of the server are in use.
    Busy,
    /// Another server has a higher score, and none of the other reasons applies.
    LowerScore,
}

impl SkipReason {
    /// Returns the label of the reason in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Resting => "resting",
            Self::Full => "full",
            Self::Stalled => "stalled",
            Self::Failing => "failing",
            Self::Slow => "slow",
            Self::Busy => "busy",
            Self::LowerScore => "outbid",
        }
    }
}

/// The server that was selected for a request, with the expected times.
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// Identifier of the server.
    pub server: ids::BackendServerId,
    /// Address to which the request is sent.
    pub address: net::SocketAddr,
    /// Availability zone of the server.
    pub zone: ids::AvailabilityZoneId,
    /// Expected time of the request at this server, including the network round trip and the wait for a slot.
    pub expected_ms: f64,
    /// Expected time if the server has not handled the request's object recently.
    pub first_ms: f64,
    /// Lower bound of the request's time at this server, including the network round trip and the wait for a slot.
    pub min_ms: f64,
    /// Whether the server is assumed to have handled the object recently.
    pub is_warm: bool,
    /// Whether this instance has recently sent a request for the object to the server.
    pub was_sent: bool,
    /// Usual time of a request if the server has handled the object recently, including the network round trip.
    pub remembered_ms: f64,
    /// Reason why the object's first server was not selected, or `None` if the first server was selected.
    pub passed_over: Option<SkipReason>,
    /// Estimated number of requests on the server, divided by its slots.
    pub load: f64,
    /// Whether the server was expected to have a free slot.
    pub had_room: bool,
    /// Age of the server's last load report in milliseconds, or `None` if there was no report.
    pub report_age_ms: Option<u64>,
    /// Rank of the server in the object's order of servers; 0 is the first server.
    pub rank: usize,
}

/// The reason why a request is refused without being sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The service has no server that the request may use.
    NoServer,
    /// All servers of the object are at the load limit for the request's priority.
    Overloaded,
    /// Only cold servers have capacity, and they have received the requests that this instance may send to them in this
    /// second.
    Cold,
    /// Servers limit the rate of their requests, and the others have no capacity.
    Limited,
    /// All servers want no request from this instance now.
    Resting,
    /// No response is possible before the request's deadline.
    TooLate,
}

impl RefusalReason {
    /// Returns the label of the reason in logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::Overloaded => "overloaded",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Resting => "resting",
            Self::TooLate => "too_late",
        }
    }
}

/// A refusal of a request that no server has run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time after which the client should retry.
    pub retry_after_ms: u64,
}

/// The placement decision for one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send the request to this server.
    Send(Pick),
    /// Refuse the request.
    Refuse(Refusal),
}
