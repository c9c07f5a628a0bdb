//! Requests that crash what runs them: noticed here, told to the region, refused.
//!
//! ```text
//! connection dies -> incident with everything in active on that server -> region
//! suspect -> runs alone, elsewhere; second incident -> refused until expiry; completed run -> cleared
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::{fingerprint, home, quarantine};

use crate::engine::Engine;
use crate::engine::pending::ActiveExchange;
use crate::event::{Action, ExchangeEnd};
use crate::peer;

/// The quarantine, and what this instance has reported.
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

    /// Whether the death of a server has just been reported; its other connections die with it.
    fn is_reported(&mut self, now: time::TimeMs, server: &ids::BackendServerId) -> bool {
        let incident_window = self.incident_window;
        self.reported
            .retain(|_, at| now.since(*at) < incident_window);
        self.reported.contains_key(server)
    }
}

impl Engine {
    /// Takes the end of an exchange as evidence for or against its request.
    pub(super) fn record_evidence(
        &mut self,
        now: time::TimeMs,
        active: &ActiveExchange,
        end: &ExchangeEnd,
    ) {
        match end {
            ExchangeEnd::Answered(_) => {
                if self.crashes.list.note_completed(now, active.fingerprint) {
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

    /// A connection died. Everything in flight on the server is suspect at once: were the neighbours
    /// only added as their connections die, one of them could be retried beside the guilty request and
    /// be blamed for the second death.
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

    /// An operator lets a request go, here and in the whole region.
    pub(super) fn clear_by_operator(
        &mut self,
        now: time::TimeMs,
        fingerprint: fingerprint::Fingerprint,
    ) {
        self.crashes.list.clear(now, fingerprint);
        self.send_to_region(&peer::PeerMessage::Cleared(fingerprint));
    }

    /// The suspects and refused requests, for operators.
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
