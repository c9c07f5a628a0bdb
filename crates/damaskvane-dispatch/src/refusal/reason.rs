//! The refusal reasons, each with its label, HTTP status, certainty, remedy and retry-after.
//!
//! ```
//! use damaskvane_dispatch::refusal;
//!
//! for reason in refusal::RefusalReason::ALL {
//!     assert_eq!(reason.as_str().parse(), Ok(reason));
//! }
//! ```

use core::fmt;
use core::str;

use damaskvane_core::time;
use serde::{Deserialize, Serialize};

/// Why a request is answered with *not run* or *outcome unknown*.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request can't be parsed.
    MalformedRequest,
    /// The body is longer than the service accepts.
    BodyTooLarge,
    /// A non-repeatable request lacks its idempotency key or its home.
    KeyMissing,
    /// The idempotency key, by which a client names one request, is bound to another body.
    KeyReusedWithOtherBody,
    /// A later attempt of the same key was already answered with *not run*.
    TrySuperseded,
    /// The table of idempotency keys is full.
    KeyTableFull,
    /// The configuration has no service of the requested name.
    ServiceUnknown,
    /// The instance has not received a configuration yet.
    NoConfiguration,
    /// The admission queue is full.
    QueueFull,
    /// The request waited in the queue for longer than the queue allows.
    QueueTimeout,
    /// The time until the deadline is too short for the request to finish.
    DeadlineTooShort,
    /// The client disconnected before the request was sent to a backend server.
    ClientGone,
    /// No backend server of the service accepts requests.
    NoBackendServer,
    /// Requests arrive faster than the backend servers of the service complete them.
    Overloaded,
    /// Requests with the same fingerprint have crashed backend servers.
    Quarantined,
    /// The instance is shutting down and accepts no new keys.
    InstanceLeaving,
    /// Each backend server that was tried refused the request before running it.
    BackendRefused,
    /// The budget of the link to the other availability zone, a limit on the data per second, is used up.
    LinkBudget,
    /// The credit, a rate of requests that the other availability zone granted, is used up.
    CreditExhausted,
    /// The key is older than the window for which outcomes are retained.
    KeyExpired,
    /// The home of the key, the instance that alone may run it, can't be reached.
    HomeUnreachable,
    /// The home of the key was restarted without a handover of its keys.
    HomeRestarted,
    /// The request was sent, and its response was lost, truncated or belonged to another request.
    OutcomeLost,
    /// Too many attempts of the same key wait for the answer.
    TriesPending,
    /// The request ran, and its response was too long to be retained for repeated attempts.
    AnswerNotKept,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
    /// An invariant of the decision code was violated; the unsafe action was refused.
    InternalInvariant,
}

/// unknown refusal reason; docs/COUNTERS.md lists the known ones; compare the versions of both instances
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseReasonError;

/// A retry fails unless the request or the configuration changes.
const NO_RETRY_MS: u64 = 60_000;
/// The cause of the refusal ends within about the run time of a request.
const SHORT_RETRY_MS: u64 = 250;
/// The cause of the refusal ends after a few heartbeats.
const MEDIUM_RETRY_MS: u64 = 1_000;
/// The cause of the refusal ends by an operator's action, a restart or an expiry.
const LONG_RETRY_MS: u64 = 10_000;

/// The HTTP status of an answer whose outcome is unknown.
const STATUS_UNKNOWN: u16 = 502;

struct Properties {
    label: &'static str,
    status: u16,
    retry_after_ms: u64,
    remedy: &'static str,
}

const fn properties(
    label: &'static str,
    status: u16,
    retry_after_ms: u64,
    remedy: &'static str,
) -> Properties {
    Properties {
        label,
        status,
        retry_after_ms,
        remedy,
    }
}

impl RefusalReason {
    /// Every reason, in the order of docs/COUNTERS.md.
    pub const ALL: [Self; 27] = [
        Self::MalformedRequest,
        Self::BodyTooLarge,
        Self::KeyMissing,
        Self::KeyReusedWithOtherBody,
        Self::TrySuperseded,
        Self::KeyTableFull,
        Self::ServiceUnknown,
        Self::NoConfiguration,
        Self::QueueFull,
        Self::QueueTimeout,
        Self::DeadlineTooShort,
        Self::ClientGone,
        Self::NoBackendServer,
        Self::Overloaded,
        Self::Quarantined,
        Self::InstanceLeaving,
        Self::BackendRefused,
        Self::LinkBudget,
        Self::CreditExhausted,
        Self::KeyExpired,
        Self::HomeUnreachable,
        Self::HomeRestarted,
        Self::OutcomeLost,
        Self::TriesPending,
        Self::AnswerNotKept,
        Self::DeadlinePassed,
        Self::InternalInvariant,
    ];

    #[rustfmt::skip]
    const fn properties(self) -> Properties {
        match self {
            Self::MalformedRequest => properties("malformed_request", 400, NO_RETRY_MS, "send a request as docs/API.md describes it"),
            Self::BodyTooLarge => properties("body_too_large", 413, NO_RETRY_MS, "send a shorter body"),
            Self::KeyMissing => properties("key_missing", 400, NO_RETRY_MS, "send an idempotency key and its home with each non-repeatable request"),
            Self::KeyReusedWithOtherBody => properties("key_reused_with_other_body", 400, NO_RETRY_MS, "take a new key for another body"),
            Self::TrySuperseded => properties("try_superseded", 503, SHORT_RETRY_MS, "follow the answer of the later try, or try again with a higher try number"),
            Self::KeyTableFull => properties("key_table_full", 503, MEDIUM_RETRY_MS, "come back later, or raise max_entries or max_bytes of the key table"),
            Self::ServiceUnknown => properties("service_unknown", 404, NO_RETRY_MS, "check the service's name, or declare the service"),
            Self::NoConfiguration => properties("no_configuration", 503, MEDIUM_RETRY_MS, "use another entry instance until this one has adopted a configuration"),
            Self::QueueFull => properties("queue_full", 503, SHORT_RETRY_MS, "come back after retry-after-ms"),
            Self::QueueTimeout => properties("queue_timeout", 503, SHORT_RETRY_MS, "come back after retry-after-ms"),
            Self::DeadlineTooShort => properties("deadline_too_short", 503, SHORT_RETRY_MS, "come back with a longer deadline"),
            Self::ClientGone => properties("client_gone", 503, SHORT_RETRY_MS, "keep the connection open until the answer is there"),
            Self::NoBackendServer => properties("no_backend_server", 503, MEDIUM_RETRY_MS, "come back later; operators check the service's backend servers"),
            Self::Overloaded => properties("overloaded", 503, SHORT_RETRY_MS, "come back after retry-after-ms"),
            Self::Quarantined => properties("quarantined", 429, LONG_RETRY_MS, "operators look at the quarantine list and clear the entry once the fault is mended"),
            Self::InstanceLeaving => properties("instance_leaving", 503, SHORT_RETRY_MS, "look up another entry instance and take a new home"),
            Self::BackendRefused => properties("backend_refused", 503, SHORT_RETRY_MS, "come back after retry-after-ms"),
            Self::LinkBudget => properties("link_budget", 503, MEDIUM_RETRY_MS, "look up an entry instance again and come back later"),
            Self::CreditExhausted => properties("credit_exhausted", 503, MEDIUM_RETRY_MS, "look up an entry instance again and come back later"),
            Self::KeyExpired => properties("key_expired", STATUS_UNKNOWN, NO_RETRY_MS, "check at the service whether the request ran"),
            Self::HomeUnreachable => properties("home_unreachable", STATUS_UNKNOWN, MEDIUM_RETRY_MS, "try again with the same key and home"),
            Self::HomeRestarted => properties("home_restarted", STATUS_UNKNOWN, NO_RETRY_MS, "check at the service whether the request ran"),
            Self::OutcomeLost => properties("outcome_lost", STATUS_UNKNOWN, NO_RETRY_MS, "check at the service whether the request ran"),
            Self::TriesPending => properties("tries_pending", STATUS_UNKNOWN, SHORT_RETRY_MS, "wait for an earlier try's answer before the next try"),
            Self::AnswerNotKept => properties("answer_not_kept", STATUS_UNKNOWN, NO_RETRY_MS, "check at the service, where the request ran; operators raise max_answer_bytes"),
            Self::DeadlinePassed => properties("deadline_passed", STATUS_UNKNOWN, SHORT_RETRY_MS, "ask again with the same key and home"),
            Self::InternalInvariant => properties("internal_invariant", STATUS_UNKNOWN, LONG_RETRY_MS, "report the log line of the broken invariant"),
        }
    }

    /// Returns the label used in counters, logs and the `damaskvane-reason` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        self.properties().label
    }

    /// Returns what the client or the operator can do about the refusal.
    #[must_use]
    pub const fn remedy(self) -> &'static str {
        self.properties().remedy
    }

    /// Returns the HTTP status of the answer.
    #[must_use]
    pub const fn status(self) -> u16 {
        self.properties().status
    }

    /// Returns whether the request is known not to have run; otherwise its outcome is unknown.
    #[must_use]
    pub const fn means_not_run(self) -> bool {
        self.status() != STATUS_UNKNOWN
    }

    /// Returns the delay before a retry where no better estimate is known, such as a queue's drain rate.
    #[must_use]
    pub const fn default_retry_after(self) -> time::SpanMs {
        time::SpanMs::new(self.properties().retry_after_ms)
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl str::FromStr for RefusalReason {
    type Err = ParseReasonError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|reason| reason.as_str() == text)
            .ok_or(ParseReasonError)
    }
}
