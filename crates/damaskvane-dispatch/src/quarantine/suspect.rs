//! One request under suspicion.

use std::collections;

use damaskvane_core::{ids, time};

use crate::quarantine::incident;

/// Reports of one backend server's death differ by less, whoever saw it and however late it was told.
const SAME_DEATH: time::SpanMs = time::SpanMs::new(3_000);

/// The incidents that a request was in since its last completed run.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    incidents: collections::BTreeMap<incident::IncidentId, Death>,
    /// Whether another instance has found it guilty and recorded so.
    pub(super) is_recorded: bool,
    pub(super) until: time::TimeMs,
}

#[derive(Debug)]
struct Death {
    server: ids::BackendServerId,
    at: time::TimeMs,
}

impl Suspect {
    /// Adds an incident; `false` if it is known, or another instance's view of the same death.
    ///
    /// A server that dies is reported by each instance that had a connection to it. Counted apart,
    /// one death would quarantine every request that was on the server.
    pub(super) fn add(&mut self, now: time::TimeMs, incident: &incident::Incident) -> bool {
        let at = time::TimeMs::new(now.get().saturating_sub(incident.age.get()));
        let is_same = |death: &Death| {
            let apart = at.since(death.at).max(death.at.since(at));
            death.server == incident.server && apart < SAME_DEATH
        };
        if self.incidents.contains_key(&incident.id) || self.incidents.values().any(is_same) {
            return false;
        }
        let server = incident.server.clone();
        let death = Death { server, at };
        self.incidents.insert(incident.id.clone(), death);
        true
    }

    /// Whether the request is refused, where so many incidents are needed.
    pub(super) fn is_refused(&self, incidents: usize) -> bool {
        self.is_recorded || self.len() >= incidents
    }

    pub(super) fn len(&self) -> usize {
        self.incidents.len()
    }

    pub(super) fn servers(&self) -> impl Iterator<Item = &ids::BackendServerId> {
        self.incidents.values().map(|death| &death.server)
    }
}
