//! The quarantine's decision on a request, and an entry of the list that operators see.
//!
//! An incident is one crash of a backend server; a suspect is a request that ran on the server then.
//!
//! ```
//! use damaskvane_dispatch::quarantine;
//!
//! assert_ne!(quarantine::QuarantineDecision::Run, quarantine::QuarantineDecision::Wait);
//! ```

use damaskvane_core::time;

use crate::fingerprint;

/// How the quarantine lets a request run, or refuses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum QuarantineDecision {
    /// The request is no suspect and may run.
    Run,
    /// The request is a suspect and may run now, while no other suspect runs on this instance.
    ///
    /// The caller sends the request to a server that did not crash while running it, and ends the run by
    /// `record_completed`, `release` or `record_incident`.
    RunAlone,
    /// The request is a suspect and another suspect runs on this instance.
    ///
    /// The request waits in the queue, and is refused as overloaded if the wait takes too long.
    Wait,
    /// The request is quarantined and has to be refused.
    Refuse {
        /// The time until the quarantine ends.
        retry_after: time::SpanMs,
    },
}

/// One suspect or quarantined request of the list that operators see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The fingerprint of the request.
    pub fingerprint: fingerprint::Fingerprint,
    /// The number of incidents that the request was part of.
    pub incidents: usize,
    /// Whether the request is refused; otherwise it is a suspect.
    pub is_refused: bool,
    /// The time until the entry expires.
    pub time_left: time::SpanMs,
}
