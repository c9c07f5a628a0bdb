//! The causes of a loss.

use core::fmt;

/// Why a request ran on a server that didn't remember its object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FirstRun {
    /// Nobody had asked for the object before.
    First,
    /// The server that had it has left.
    Left,
    /// The zone of the server that had it was evacuated.
    Evacuated,
    /// The server that had it has restarted.
    Restarted,
    /// The object's first server has changed though the one before is still there: servers have joined or left, or
    /// callers in another zone ask for it.
    Moved,
    /// The first server was cold.
    Cold,
    /// The first server was at the limit of its load.
    Full,
    /// The first server had a queue.
    Busy,
    /// The first server was slow.
    Slow,
    /// The first server's exchanges failed.
    Failing,
    /// The first server's exchanges hung.
    Stalled,
    /// Another server won more for other reasons.
    Outbid,
    /// The same server had run it before, and took its full time again.
    Evicted,
}

/// Why an instance turned a request away, or had no answer for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NotServedReason {
    /// All servers of the object were at the limit.
    Overloaded,
    /// The cold servers had their share.
    Cold,
    /// No server could be used.
    NoServer,
    /// It could not be answered in the time left.
    TooLate,
    /// A server turned it away, and no other one was asked.
    RejectedByServer,
    /// No configuration was known yet.
    Starting,
    /// No route takes its host and path.
    NoRoute,
    /// It crashes servers.
    Quarantined,
    /// The client's or the route's time was over.
    Timeout,
    /// A server had it, and its answer was lost.
    ResponseLost,
    /// The client left.
    ClientDisconnected,
    /// A server failed it.
    ServerFailed,
    /// Any other reason.
    Other,
}

/// Why a request was late or not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Late: the server didn't remember the object.
    FirstRun(FirstRun),
    /// Late: it waited behind others.
    Waited,
    /// Late: an earlier exchange came to nothing.
    Retried,
    /// Late: the server took longer than others.
    SlowServer,
    /// Not served.
    NotServed(NotServedReason),
    /// Late for no reason that the lines show.
    Unexplained,
}

impl NotServedReason {
    pub(super) fn of(reason: &str) -> Self {
        match reason {
            "overloaded" => Self::Overloaded,
            "cold" => Self::Cold,
            "no_server" => Self::NoServer,
            "too_late" => Self::TooLate,
            "turned_away" => Self::RejectedByServer,
            "starting" => Self::Starting,
            "no_route" => Self::NoRoute,
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
            Self::NoServer => "no_server",
            Self::TooLate => "too_late",
            Self::RejectedByServer => "turned_away",
            Self::Starting => "starting",
            Self::NoRoute => "no_route",
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
    /// The reason why the object's first server was passed over, as an instance logs it.
    pub(super) fn of_passed_over(word: &str) -> Self {
        match word {
            "cold" => Self::Cold,
            "full" => Self::Full,
            "busy" => Self::Busy,
            "slow" => Self::Slow,
            "failing" => Self::Failing,
            "stalled" => Self::Stalled,
            _ => Self::Outbid,
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
            Self::Full => "full",
            Self::Busy => "busy",
            Self::Slow => "slow",
            Self::Failing => "failing",
            Self::Stalled => "stalled",
            Self::Outbid => "outbid",
            Self::Evicted => "forgotten",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (group, detail) = match self {
            Self::FirstRun(why) => ("first run", why.as_str()),
            Self::NotServed(why) => ("not served", why.as_str()),
            Self::Waited => ("late", "waited"),
            Self::Retried => ("late", "tried_again"),
            Self::SlowServer => ("late", "slow_server"),
            Self::Unexplained => ("late", "unexplained"),
        };
        f.pad(&format!("{group}: {detail}"))
    }
}
