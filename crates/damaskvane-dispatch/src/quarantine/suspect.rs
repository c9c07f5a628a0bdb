//! One request under suspicion.

use std::collections;

use damaskvane_core::{ids, time};

use crate::quarantine::incident;

/// The incidents that a request was in since its last completed run.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    incidents: collections::BTreeMap<incident::IncidentId, ids::BackendServerId>,
    pub(super) until: time::TimeMs,
}

impl Suspect {
    /// Adds an incident; `false` if it is known, or another instance's view of the same server's.
    ///
    /// A server that dies is reported by each instance that had a connection to it. Counted apart,
    /// one death would quarantine every request that was on the server.
    pub(super) fn add(&mut self, incident: &incident::Incident) -> bool {
        let is_known = self.incidents.contains_key(&incident.id)
            || self
                .incidents
                .values()
                .any(|server| *server == incident.server);
        if is_known {
            return false;
        }
        let server = incident.server.clone();
        self.incidents.insert(incident.id.clone(), server);
        true
    }

    pub(super) fn len(&self) -> usize {
        self.incidents.len()
    }

    pub(super) fn servers(&self) -> impl Iterator<Item = &ids::BackendServerId> {
        self.incidents.values()
    }
}
