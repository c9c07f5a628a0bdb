//! Detects requests that crash backend servers, reports them to all instances of the region and refuses them.
//!
//! An incident is one crash of a backend server; a suspect is a request that ran on the server then.
//!
//! ```text
//! connection lost -> incident with all requests that run on that server -> region
//! suspect -> runs alone, elsewhere; second incident -> refused until expiry; completed run -> cleared
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{fingerprint, home, quarantine};

use crate::engine::Engine;
use crate::engine::pending::ActiveExchange;
use crate::event::{Action, ExchangeEnd};
use crate::peer;

/// The quarantine, and the crashes that this instance has reported.
#[derive(Debug)]
pub(super) struct Crashes {
    pub(super) list: quarantine::Quarantine,
    incident_window: time::SpanMs,
    reported: BTreeMap<ids::BackendServerId, time::TimeMs>,
    next_serial: u64,
}

impl Crashes {
    pub(super) fn new(settings: quarantine::QuarantineSettings) -> Self {
        Self {
            incident_window: time::SpanMs::new(settings.gather_ms),
            list: quarantine::Quarantine::new(settings),
            reported: BTreeMap::new(),
            next_serial: 1,
        }
    }

    /// Returns whether a crash of the server was reported within `incident_window`; the crash also breaks the
    /// server's other connections.
    fn is_reported(&mut self, now: time::TimeMs, server: &ids::BackendServerId) -> bool {
        let incident_window = self.incident_window;
        self.reported
            .retain(|_, at| now.since(*at) < incident_window);
        self.reported.contains_key(server)
    }
}

impl Engine {
    /// Records the end of an exchange: a response clears its request of suspicion, a lost connection or a
    /// truncated response counts as a crash of the server.
    pub(super) fn record_evidence(
        &mut self,
        now: time::TimeMs,
        active: &ActiveExchange,
        end: &ExchangeEnd,
    ) {
        match end {
            ExchangeEnd::Answered(_) => {
                if self.crashes.list.record_completed(now, active.fingerprint) {
                    self.send_to_region(&peer::PeerMessage::Cleared(active.fingerprint));
                }
            }
            ExchangeEnd::Lost | ExchangeEnd::TruncatedResponse => self.record_crash(now, active),
            ExchangeEnd::Refused
            | ExchangeEnd::NotSent
            | ExchangeEnd::Timeout
            | ExchangeEnd::MismatchedResponse => self.crashes.list.release(active.fingerprint),
        }
    }

    /// Records a lost connection as a crash of its server. All requests that run on the server become suspects
    /// at once. If a request became a suspect only when its own connection was lost, a harmless request could
    /// be retried beside the request that caused the crash, and become a suspect of the second crash too.
    fn record_crash(&mut self, now: time::TimeMs, lost: &ActiveExchange) {
        let server = lost.slot_permit.server().clone();
        if self.crashes.is_reported(now, &server) {
            return;
        }
        let mut suspects: Vec<fingerprint::Fingerprint> = self
            .active_exchanges
            .values()
            .filter(|active| *active.slot_permit.server() == server)
            .map(|active| active.fingerprint)
            .collect();
        suspects.push(lost.fingerprint);
        suspects.sort();
        suspects.dedup();
        let incident = quarantine::Incident {
            id: quarantine::IncidentId {
                reporter: self.own_home.clone(),
                serial: self.crashes.next_serial,
            },
            server: server.clone(),
            suspects,
            age: time::SpanMs::ZERO,
        };
        self.crashes.next_serial += 1;
        self.crashes.reported.insert(server, now);
        self.crashes.list.record_incident(now, &incident);
        self.actions.push(Action::Count {
            family: "crashes",
            label: "incident",
        });
        self.send_to_region(&peer::PeerMessage::Incident(Box::new(incident)));
    }

    pub(super) fn handle_incident(&mut self, now: time::TimeMs, incident: &quarantine::Incident) {
        self.crashes.list.record_incident(now, incident);
    }

    pub(super) fn handle_cleared(
        &mut self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) {
        self.crashes.list.clear(now, fingerprint);
    }

    /// Removes a request from the quarantine of this instance and of the region, on behalf of an operator.
    pub(super) fn clear_by_operator(
        &mut self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) {
        self.crashes.list.clear(now, fingerprint);
        self.send_to_region(&peer::PeerMessage::Cleared(fingerprint));
    }

    /// Returns the suspects and the refused requests, for operators.
    #[must_use]
    pub fn quarantined(&self, now: time::TimeMs) -> Vec<quarantine::QuarantineEntry> {
        self.crashes.list.list(now)
    }

    fn send_to_region(&mut self, message: &peer::PeerMessage) {
        let region: Vec<home::Home> = self
            .directory
            .instances
            .iter()
            .filter(|(_, peer)| Some(&peer.region) == self.directory.own_region.as_ref())
            .filter(|(_, peer)| peer.reachability.takes_messages())
            .map(|(id, peer)| home::Home::new(id.clone(), peer.incarnation))
            .collect();
        for home in region {
            self.actions.push(Action::Send {
                to: home.instance,
                message: Box::new(message.clone()),
            });
        }
    }
}
