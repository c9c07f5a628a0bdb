//! What to do with a request, and what operators see.
//!
//! ```
//! use damaskvane_dispatch::quarantine;
//!
//! assert_ne!(quarantine::QuarantineDecision::Run, quarantine::QuarantineDecision::Wait);
//! ```

use damaskvane_core::time;

use crate::fingerprint;

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum QuarantineDecision {
    /// Nothing speaks against it.
    Run,
    /// A suspect: run it while no other suspect runs here, on a server it has not been in an incident
    /// on, and say when it ends, by `record_completed` or an incident.
    RunAlone,
    /// Another suspect runs; wait in the queue, or be refused as overloaded when that takes too long.
    Wait,
    /// Refuse it as quarantined.
    Refuse {
        /// When the quarantine ends.
        retry_after: time::SpanMs,
    },
}

/// One line of the operators' list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: fingerprint::Fingerprint,
    /// How many incidents it was in.
    pub incidents: usize,
    /// Whether it is refused; otherwise it is a suspect.
    pub is_refused: bool,
    /// When it is let go.
    pub time_left: time::SpanMs,
}
