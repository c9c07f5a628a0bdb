//! An incident: one crash of a backend server, as an entry instance reports it.
//!
//! ```
//! use damaskvane_dispatch::quarantine;
//!
//! let id = quarantine::IncidentId { reporter: "a/1".parse()?, serial: 1 };
//! assert_eq!(id.serial, 1);
//! # Ok::<(), damaskvane_dispatch::home::ParseHomeError>(())
//! ```

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

use crate::fingerprint;
use crate::home;

/// Identifies an incident; every report of the incident carries the same id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IncidentId {
    /// The instance that observed the incident, and its incarnation (one start or renewal).
    pub reporter: home::Home,
    /// The serial number of the incident within this incarnation.
    pub serial: u64,
}

/// The report of an incident, which an instance sends to the others of its region at once.
///
/// The reporter combines all connections to one backend server that break within
/// [`crate::quarantine::QuarantineSettings::gather_ms`] into one incident.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Incident {
    /// The id, by which repeated reports are recognized.
    pub id: IncidentId,
    /// The backend server whose connections broke.
    pub server: ids::BackendServerId,
    /// The requests that were in flight on the backend server.
    pub suspects: Vec<fingerprint::Fingerprint>,
    /// The time in milliseconds between the incident and the sending of this report.
    pub age: time::SpanMs,
}

impl Incident {
    /// Returns the same incident with the suspects' fingerprints without their callers.
    #[must_use]
    pub fn without_callers(&self) -> Self {
        let mut suspects: Vec<_> = self
            .suspects
            .iter()
            .map(fingerprint::Fingerprint::any_caller)
            .collect();
        suspects.sort_unstable();
        suspects.dedup();
        Self {
            suspects,
            ..self.clone()
        }
    }
}
