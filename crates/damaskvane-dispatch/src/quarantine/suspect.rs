//! The incidents (crashes of backend servers) in which one suspect request was in flight on the server.

use std::collections;

use damaskvane_core::{ids, time};

use crate::quarantine::incident;

/// Reports of one crash of a backend server differ in time by less than this span, whichever instance
/// observed the crash and however late its report arrived.
const SAME_CRASH_WITHIN: time::SpanMs = time::SpanMs::new(3_000);

/// The incidents that a request was part of since its last completed run.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    incidents: collections::BTreeMap<incident::IncidentId, Crash>,
    /// Whether another instance has recorded the request as quarantined.
    pub(super) is_recorded: bool,
    pub(super) until: time::TimeMs,
}

#[derive(Debug)]
struct Crash {
    server: ids::BackendServerId,
    at: time::TimeMs,
}

impl Suspect {
    /// Adds an incident.
    ///
    /// Returns `false` if the incident is known, or is another instance's report of the same crash. Each
    /// instance that had a connection to a crashed server reports the crash. If these reports were counted
    /// separately, one crash would quarantine every request that was on the server.
    pub(super) fn add(&mut self, now: time::TimeMs, incident: &incident::Incident) -> bool {
        let at = time::TimeMs::new(now.get().saturating_sub(incident.age.get()));
        let is_same = |crash: &Crash| {
            let difference = at.since(crash.at).max(crash.at.since(at));
            crash.server == incident.server && difference < SAME_CRASH_WITHIN
        };
        if self.incidents.contains_key(&incident.id) || self.incidents.values().any(is_same) {
            return false;
        }
        let server = incident.server.clone();
        let crash = Crash { server, at };
        self.incidents.insert(incident.id.clone(), crash);
        true
    }

    /// Returns whether the request is refused, given the number of incidents that a refusal needs.
    pub(super) fn is_refused(&self, incidents: usize) -> bool {
        self.is_recorded || self.len() >= incidents
    }

    pub(super) fn len(&self) -> usize {
        self.incidents.len()
    }

    pub(super) fn servers(&self) -> impl Iterator<Item = &ids::BackendServerId> {
        self.incidents.values().map(|crash| &crash.server)
    }
}
