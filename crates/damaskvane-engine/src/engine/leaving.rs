//! A planned stop: out of look-up answers, one look-up TTL of service, then the keys go to a successor.
//!
//! ```text
//! Serving -> Draining (still serves) -> HandingOver -> Done (what runs may end) -> drained
//! ```

use std::collections::BTreeSet;
use std::sync::Arc;

use damaskvane_core::time;
use damaskvane_dispatch::home;

use crate::engine::Engine;
use crate::event::Action;
use crate::{directory, message, peer};

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub(super) enum Departure {
    #[default]
    Serving,
    Draining {
        until: time::TimeMs,
    },
    HandingOver {
        successor: home::Home,
        missing: BTreeSet<u32>,
        resend_at: time::TimeMs,
        until: time::TimeMs,
    },
    Done,
}

impl Departure {
    /// Clients may use a cached look-up answer for one TTL; after that nobody was told to come.
    pub(super) fn takes_no_requests(&self, now: time::TimeMs) -> bool {
        match self {
            Self::Serving => false,
            Self::Draining { until } => *until <= now,
            Self::HandingOver { .. } | Self::Done => true,
        }
    }
}

impl Engine {
    /// Whether a planned stop has finished all work.
    #[must_use]
    pub fn is_drained(&self, now: time::TimeMs) -> bool {
        matches!(self.departure, Departure::Done)
            && self.servers.is_drained(now)
            && self.requests.is_empty()
            && self.flights.is_empty()
    }

    pub(super) fn leave(&mut self, now: time::TimeMs) {
        if matches!(self.departure, Departure::Serving) {
            // Until the last instance has heard of it, look-ups still name this one; what they answer
            // is kept for one TTL. A client that came later would find another incarnation or nothing.
            let until = now + self.settings.leaving_spreads + self.directory.answer_ttl;
            self.departure = Departure::Draining { until };
        }
    }

    pub(super) fn advance_departure(&mut self, now: time::TimeMs) {
        match &mut self.departure {
            Departure::Serving | Departure::Done => {}
            Departure::Draining { until } => {
                if *until <= now {
                    self.begin_handover(now);
                }
            }
            Departure::HandingOver {
                missing,
                resend_at,
                until,
                ..
            } => {
                if missing.is_empty() || *until <= now {
                    self.end_handover();
                } else if *resend_at <= now {
                    *resend_at = now + self.settings.handover_resend;
                    self.send_parts(now);
                }
            }
        }
        self.send_amendments();
    }

    fn begin_handover(&mut self, now: time::TimeMs) {
        let Some(successor) = self.successor() else {
            self.keys.close();
            self.departure = Departure::Done;
            return;
        };
        let parts = match self.keys.hand_over(now, &successor) {
            Ok(parts) => parts.len(),
            Err(_) => return,
        };
        self.handed_to = Some(successor.clone());
        self.departure = Departure::HandingOver {
            successor,
            missing: (0..u32::try_from(parts).unwrap_or(u32::MAX)).collect(),
            resend_at: now + self.settings.handover_resend,
            until: now + self.settings.handover_timeout,
        };
        self.send_parts(now);
    }

    /// A live instance, of the own zone if there is one.
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

    fn send_parts(&mut self, now: time::TimeMs) {
        let Departure::HandingOver {
            successor, missing, ..
        } = &self.departure
        else {
            return;
        };
        let Ok(parts) = self.keys.hand_over(now, successor) else {
            return;
        };
        for part in parts.iter().filter(|part| missing.contains(&part.part)) {
            self.actions.push(Action::Send {
                to: successor.instance.clone(),
                message: Box::new(peer::PeerMessage::Handover(Box::new(part.clone()))),
            });
        }
    }

    /// Tells everybody who answers for this home now; whoever misses it answers *unknown*.
    fn end_handover(&mut self) {
        let Departure::HandingOver { successor, .. } =
            core::mem::replace(&mut self.departure, Departure::Done)
        else {
            return;
        };
        for (instance, peer) in &self.directory.instances {
            if peer.reachability.takes_messages() {
                let departed = peer::Departed {
                    departed: self.me.clone(),
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
        let Some(successor) = self.handed_to.clone() else {
            return;
        };
        for record in self.keys.take_amendments() {
            self.actions.push(Action::Send {
                to: successor.instance.clone(),
                message: Box::new(peer::PeerMessage::Amendment(Box::new(record))),
            });
        }
    }

    pub(super) fn take_over(
        &mut self,
        now: time::TimeMs,
        from: &home::Home,
        part: home::Handover<Arc<message::BackendAnswer>>,
    ) {
        let number = part.part;
        if part.from != *from {
            return;
        }
        if self.keys.accept_handover(now, part).is_ok() {
            let taken = peer::HandoverTaken { part: number };
            self.actions.push(Action::Send {
                to: from.instance.clone(),
                message: Box::new(peer::PeerMessage::HandoverTaken(taken)),
            });
        }
    }

    pub(super) fn handover_taken(&mut self, from: &home::Home, taken: peer::HandoverTaken) {
        if let Departure::HandingOver {
            successor, missing, ..
        } = &mut self.departure
            && successor == from
        {
            missing.remove(&taken.part);
        }
    }

    pub(super) fn amended(
        &mut self,
        now: time::TimeMs,
        record: home::HandedRecord<Arc<message::BackendAnswer>>,
    ) {
        if let Some(finish) = self.keys.accept_amendment(now, record) {
            self.answer_waiters(finish);
        }
    }
}
