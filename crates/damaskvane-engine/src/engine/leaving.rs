//! A planned stop: lookup responses no longer name the instance, but it serves requests while clients may use
//! cached responses (for one TTL), then it hands its idempotency keys over to a successor.
//!
//! A home is an instance and its incarnation (one start or renewal), which alone may run the keys naming it.
//!
//! ```text
//! Serving -> Leaving (still serves) -> HandingOver -> Stopped
//! ```

use std::collections::BTreeSet;
use std::sync::Arc;

use damaskvane_core::time;
use damaskvane_dispatch::{home, shutdown};

use crate::engine::Engine;
use crate::event::Action;
use crate::{directory, message, peer};

/// The phase of a planned stop.
#[derive(Debug)]
pub(super) enum ShutdownState {
    Serving(shutdown::Serving),
    Leaving(shutdown::Leaving),
    HandingOver(Handover),
    Stopped(shutdown::Stopped),
}

/// A handover of the key table to the successor that is in progress.
#[derive(Debug)]
pub(super) struct Handover {
    phase: shutdown::HandingOver,
    /// The parts that the successor has not acknowledged.
    unacknowledged: BTreeSet<u32>,
    resend_at: time::TimeMs,
    is_announced: bool,
}

impl Default for ShutdownState {
    fn default() -> Self {
        Self::Serving(shutdown::Serving)
    }
}

impl ShutdownState {
    /// Returns whether new requests are refused. While the instance is leaving, clients may still use a lookup
    /// response that they cached for one TTL; once the handover begins, no valid response names the instance.
    pub(super) const fn takes_no_requests(&self) -> bool {
        matches!(self, Self::HandingOver(_) | Self::Stopped(_))
    }
}

impl Engine {
    /// Returns whether a planned stop has finished all work, or its time limit has passed.
    #[must_use]
    pub fn is_drained(&self, now: time::TimeMs) -> bool {
        match &self.shutdown_state {
            ShutdownState::Stopped(stopped) => {
                stopped.is_timed_out
                    || (self.requests.is_empty()
                        && self.active_exchanges.is_empty()
                        && self.servers.is_drained(now))
            }
            _ => false,
        }
    }

    /// Returns the progress of a planned stop, for operators; `None` before the stop begins and after it ends.
    #[must_use]
    pub fn shutdown_progress(&self, now: time::TimeMs) -> Option<shutdown::Progress> {
        let running = self.active_exchanges.len();
        match &self.shutdown_state {
            ShutdownState::Serving(_) | ShutdownState::Stopped(_) => None,
            ShutdownState::Leaving(phase) => Some(phase.progress(now, running)),
            ShutdownState::HandingOver(handover) => Some(handover.phase.progress(now, running)),
        }
    }

    pub(super) fn leave(&mut self, now: time::TimeMs) {
        if let ShutdownState::Serving(serving) = &self.shutdown_state {
            // Lookup responses name this instance until every instance has received the notice of the stop, and
            // clients cache the responses for one TTL. Without the wait a client would reach another
            // incarnation or no process at all.
            let settings = shutdown::ShutdownSettings {
                lookup_ttl_ms: self.directory.lookup_ttl.get(),
                ..self.settings.shutdown
            };
            self.shutdown_state = ShutdownState::Leaving(serving.leave(now, settings));
        }
    }

    pub(super) fn advance_shutdown(&mut self, now: time::TimeMs) {
        let running = self.active_exchanges.len();
        let shutdown_state = core::mem::take(&mut self.shutdown_state);
        self.shutdown_state = match shutdown_state {
            ShutdownState::Leaving(phase) => match phase.begin_handover(now, running) {
                Ok(phase) => self.begin_handover(now, phase),
                Err(phase) => ShutdownState::Leaving(phase),
            },
            ShutdownState::HandingOver(handover) => self.continue_handover(now, handover),
            other => other,
        };
        self.send_amendments();
    }

    fn begin_handover(&mut self, now: time::TimeMs, phase: shutdown::HandingOver) -> ShutdownState {
        let mut unacknowledged = BTreeSet::new();
        match self.successor() {
            None => self.keys.close(),
            Some(successor) => {
                if let Ok(parts) = self.keys.hand_over(now, &successor) {
                    unacknowledged = parts.iter().map(|part| part.part).collect();
                    self.handover_target = Some(successor);
                }
            }
        }
        self.send_parts(now, &unacknowledged);
        ShutdownState::HandingOver(Handover {
            phase,
            unacknowledged,
            resend_at: now + self.settings.handover_resend,
            is_announced: false,
        })
    }

    fn continue_handover(&mut self, now: time::TimeMs, mut handover: Handover) -> ShutdownState {
        if handover.unacknowledged.is_empty() && !handover.is_announced {
            handover.is_announced = true;
            self.announce_successor();
        }
        if !handover.unacknowledged.is_empty() && handover.resend_at <= now {
            handover.resend_at = now + self.settings.handover_resend;
            self.send_parts(now, &handover.unacknowledged);
        }
        let is_acknowledged = handover.unacknowledged.is_empty();
        match handover
            .phase
            .stop(now, self.active_exchanges.len(), is_acknowledged)
        {
            Ok(stopped) => ShutdownState::Stopped(stopped),
            Err(phase) => ShutdownState::HandingOver(Handover { phase, ..handover }),
        }
    }

    /// Selects a live instance as the successor, from the local zone if that zone has one.
    fn successor(&self) -> Option<home::Home> {
        let live = || {
            self.directory
                .instances
                .iter()
                .filter(|(_, peer)| peer.reachability == directory::Reachability::Live)
        };
        live()
            .find(|(_, peer)| Some(&peer.availability_zone) == self.directory.own_zone.as_ref())
            .or_else(|| live().next())
            .map(|(id, peer)| home::Home::new(id.clone(), peer.incarnation))
    }

    fn send_parts(&mut self, now: time::TimeMs, unacknowledged: &BTreeSet<u32>) {
        let Some(successor) = self.handover_target.clone() else {
            return;
        };
        let Ok(parts) = self.keys.hand_over(now, &successor) else {
            return;
        };
        for part in parts
            .iter()
            .filter(|part| unacknowledged.contains(&part.part))
        {
            self.actions.push(Action::Send {
                to: successor.instance.clone(),
                message: Box::new(peer::PeerMessage::Handover(Box::new(part.clone()))),
            });
        }
    }

    /// Sends all reachable instances the name of this home's successor. An instance that misses the notice
    /// responds *unknown* to requests for the home.
    fn announce_successor(&mut self) {
        let Some(successor) = self.handover_target.clone() else {
            return;
        };
        for (instance, peer) in &self.directory.instances {
            if peer.reachability.takes_messages() {
                let departed = peer::Departed {
                    departed: self.keys.home().clone(),
                    successor: successor.clone(),
                };
                self.actions.push(Action::Send {
                    to: instance.clone(),
                    message: Box::new(peer::PeerMessage::Departed(departed)),
                });
            }
        }
    }

    fn send_amendments(&mut self) {
        let Some(successor) = self.handover_target.clone() else {
            return;
        };
        for record in self.keys.take_amendments() {
            self.actions.push(Action::Send {
                to: successor.instance.clone(),
                message: Box::new(peer::PeerMessage::Amendment(Box::new(record))),
            });
        }
    }

    pub(super) fn handle_handover(
        &mut self,
        now: time::TimeMs,
        from: &home::Home,
        part: home::HandoverPart<Arc<message::BackendResponse>>,
    ) {
        let number = part.part;
        // After a renewal, the home of the keys has a later incarnation than the sending process.
        let is_senders =
            part.from.instance == from.instance && part.from.incarnation >= from.incarnation;
        if !is_senders {
            return;
        }
        if self.keys.accept_handover(now, part).is_ok() {
            let ack = peer::HandoverAck { part: number };
            self.actions.push(Action::Send {
                to: from.instance.clone(),
                message: Box::new(peer::PeerMessage::HandoverAck(ack)),
            });
        }
    }

    pub(super) fn handle_handover_ack(&mut self, from: &home::Home, ack: peer::HandoverAck) {
        if let ShutdownState::HandingOver(handover) = &mut self.shutdown_state
            && self.handover_target.as_ref() == Some(from)
        {
            handover.unacknowledged.remove(&ack.part);
        }
    }

    pub(super) fn handle_amendment(
        &mut self,
        now: time::TimeMs,
        record: home::HandoverRecord<Arc<message::BackendResponse>>,
    ) {
        if let Some(finish) = self.keys.accept_amendment(now, record) {
            self.respond_to_waiters(finish);
        }
    }
}
