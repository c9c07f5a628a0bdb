//! One death of a backend server's connections.
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

/// Names an incident, equal on every notice of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IncidentId {
    /// The incarnation that saw it.
    pub reporter: home::Home,
    /// Which one of that incarnation's it is.
    pub serial: u64,
}

/// What an instance saw, and tells the others of its region at once.
///
/// The reporter gathers the connections to one backend server that die within
/// [`crate::quarantine::QuarantineSettings::gather_ms`] into one incident.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Incident {
    /// Its name.
    pub id: IncidentId,
    /// The backend server whose connections died.
    pub server: ids::BackendServerId,
    /// The requests that were in flight on it.
    pub suspects: Vec<fingerprint::Fingerprint>,
    /// How long ago it was, when the notice was sent.
    pub age: time::SpanMs,
}
