//! Causes of late and unserved requests.
//!
//! A request is late if its response took longer than the latency objective of its route.

use core::fmt;

/// The reason why a request ran on a backend server that had not handled the request's object recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FirstRun {
    /// No earlier request for the object is in the logs.
    First,
    /// The server that handled the object before has left, is draining, or is missing from the store after an outage.
    Left,
    /// The zone of the server that handled the object before was evacuated.
    Evacuated,
    /// The server that handled the object before has restarted.
    Restarted,
    /// The object's first server has changed although the previous first server is still listed: servers joined or
    /// left, or clients in another zone request the object.
    Moved,
    /// The object's first server was cold.
    Cold,
    /// The object's first server limits the rate of its requests, and there was no token for the request.
    Limited,
    /// The object's first server had asked the instance for rest, or had not got back all its requests after one.
    Resting,
    /// The first server's load was at its limit.
    Full,
    /// All slots of the first server were in use.
    Busy,
    /// The first server took considerably longer than usual.
    Slow,
    /// A considerable share of the first server's recent exchanges failed.
    Failing,
    /// An open exchange with the first server lasted far longer than usual.
    Stalled,
    /// Another server had a higher score for other reasons.
    LowerScore,
    /// The same server had handled the object before, but took the time of a first run again.
    Evicted,
}

/// The reason why an instance rejected a request or returned no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NotServedReason {
    /// All servers of the object were at their load limit.
    Overloaded,
    /// Only cold servers had capacity, and they had received their limit of requests.
    Cold,
    /// Servers limit the rate of their requests, and the others had no capacity.
    Limited,
    /// All servers had asked the instance for rest.
    Resting,
    /// The service had no server that the request could use.
    NoServer,
    /// No response was possible before the request's deadline.
    TooLate,
    /// A server rejected the request, and no other server was tried.
    RejectedByServer,
    /// The instance had no configuration yet.
    Starting,
    /// No route matches the request's host and path.
    NoRoute,
    /// No team holds the request's key, or no longer.
    UnknownKey,
    /// The instance could not exclude that the key was revoked.
    StaleConfiguration,
    /// The team had used its quota.
    OverQuota,
    /// No instance that holds a part of the team's quota responded.
    QuotaUnknown,
    /// No region is allowed both to the route and to the team.
    NoCommonRegion,
    /// The request is quarantined because it crashes servers.
    Quarantined,
    /// The client's deadline or the route's timeout passed.
    Timeout,
    /// A server received the request, and the response was lost.
    ResponseLost,
    /// The client disconnected.
    ClientDisconnected,
    /// A server responded with an error.
    ServerFailed,
    /// Any other reason.
    Other,
}

/// The cause of a late or unserved request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Late because the server had not handled the object recently.
    FirstRun(FirstRun),
    /// Late because the request waited for other requests, or the backend server had no free slot (capacity to run
    /// one request) for it.
    Waited,
    /// Late because an earlier exchange brought no usable response.
    Retried,
    /// Late because the server took longer than usual.
    SlowServer,
    /// Not served, for the given reason.
    NotServed(NotServedReason),
    /// Late for a reason that the log lines do not show.
    Unexplained,
}

impl NotServedReason {
    /// Returns the reason for a label in the log, or `Other` for an unknown label.
    pub(super) fn from_label(label: &str) -> Self {
        match label {
            "overloaded" => Self::Overloaded,
            "cold" => Self::Cold,
            "limited" => Self::Limited,
            "resting" => Self::Resting,
            "no_server" => Self::NoServer,
            "too_late" => Self::TooLate,
            "turned_away" => Self::RejectedByServer,
            "starting" => Self::Starting,
            "no_route" => Self::NoRoute,
            "unknown_key" | "key_revoked" => Self::UnknownKey,
            "stale_configuration" => Self::StaleConfiguration,
            "over_quota" => Self::OverQuota,
            "quota_unknown" => Self::QuotaUnknown,
            "no_common_region" => Self::NoCommonRegion,
            "quarantined" => Self::Quarantined,
            "timeout" => Self::Timeout,
            "unknown" => Self::ResponseLost,
            "client_left" => Self::ClientDisconnected,
            _ => Self::Other,
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Resting => "resting",
            Self::NoServer => "no_server",
            Self::TooLate => "too_late",
            Self::RejectedByServer => "turned_away",
            Self::Starting => "starting",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::StaleConfiguration => "stale_configuration",
            Self::OverQuota => "over_quota",
            Self::QuotaUnknown => "quota_unknown",
            Self::NoCommonRegion => "no_common_region",
            Self::Quarantined => "quarantined",
            Self::Timeout => "timeout",
            Self::ResponseLost => "answer_lost",
            Self::ClientDisconnected => "client_left",
            Self::ServerFailed => "server_failed",
            Self::Other => "other",
        }
    }
}

impl FirstRun {
    /// Returns the reason for the label with which an instance logs why it passed over the object's first server.
    pub(super) fn from_passed_over(label: &str) -> Self {
        match label {
            "cold" => Self::Cold,
            "limited" => Self::Limited,
            "resting" => Self::Resting,
            "full" => Self::Full,
            "busy" => Self::Busy,
            "slow" => Self::Slow,
            "failing" => Self::Failing,
            "stalled" => Self::Stalled,
            _ => Self::LowerScore,
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Left => "server_left",
            Self::Evacuated => "evacuated",
            Self::Restarted => "restarted",
            Self::Moved => "moved",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Resting => "resting",
            Self::Full => "full",
            Self::Busy => "busy",
            Self::Slow => "slow",
            Self::Failing => "failing",
            Self::Stalled => "stalled",
            Self::LowerScore => "outbid",
            Self::Evicted => "forgotten",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (group, detail) = match self {
            Self::FirstRun(reason) => ("first run", reason.as_str()),
            Self::NotServed(reason) => ("not served", reason.as_str()),
            Self::Waited => ("late", "waited"),
            Self::Retried => ("late", "tried_again"),
            Self::SlowServer => ("late", "slow_server"),
            Self::Unexplained => ("late", "unexplained"),
        };
        f.pad(&format!("{group}: {detail}"))
    }
}
