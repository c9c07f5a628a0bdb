//! Why and for how long a request that may crash servers is refused.

use damaskvane_core::time::SpanMs;
use damaskvane_dispatch::fingerprint::Fingerprint;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request has crashed servers, or probably has.
    Quarantined,
    /// It is unknown whether the request crashes servers, and the trial that will tell has no result yet.
    OnTrial,
}

impl RefusalReason {
    /// Returns the label for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::OnTrial => "on_trial",
        }
    }
}

/// The refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The fingerprint under which the request is refused.
    pub fingerprint: Fingerprint,
    /// The time for which it is refused from now.
    pub remaining: SpanMs,
    /// Why it is refused.
    pub reason: RefusalReason,
}
