//! The part of the aggregate that borrows.

use damaskvane_core::{ids, time, units};

use crate::exchange::aggregate::SlotExchange;
use crate::exchange::event::Action;
use crate::exchange::server::Sender;
use crate::holder::Wish;
use crate::message::{GrantNumber, RefusalReason, SlotMessage};

impl SlotExchange {
    pub(super) fn demand(&mut self, name: &ids::BackendServerId, waiting: units::Slots) {
        let (now, answer) = (self.now, self.settings.answer_ms);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let Some(owner) = server.owner.clone() else {
            return;
        };
        // An instance that is leaving owns nothing any more but still borrows: clients come to it until
        // their look-up answers have run out, and would wait for nothing here.
        let slots = server.pool.wanted(now, waiting, answer);
        if slots == units::Slots::ZERO {
            return;
        }
        let number = server.pool.ask(now, slots);
        let message = SlotMessage::Acquire {
            server: name.clone(),
            number,
            slots,
        };
        self.send(&owner, message);
    }

    pub(super) fn borrow(&mut self, from: &Sender, message: &SlotMessage) {
        let name = message.server().clone();
        let (now, settings) = (self.now, self.settings.clone());
        let Some(server) = self.servers.get_mut(&name) else {
            return;
        };
        if server.owner.as_ref() != Some(&from.instance) {
            // The sender handed the backend server on, or never owned it. What it lent before is in
            // the new owner's ledger; what comes now may not be.
            self.counters.late_grants += 1;
            return;
        }
        match *message {
            SlotMessage::Granted {
                number,
                slots,
                lease_ms,
                ..
            } => self.take_grant(&name, number, slots, lease_ms),
            SlotMessage::Refused {
                number,
                reason,
                retry_after_ms,
                ..
            } => {
                server.pool.refused(number, now + retry_after_ms);
                if reason == RefusalReason::NotOwner {
                    self.leave_owner(&name);
                }
            }
            SlotMessage::Renewed {
                number,
                attempt,
                lease_ms,
                ..
            } => server.pool.renewed(number, attempt, lease_ms, &settings),
            SlotMessage::Recall { keep, .. } => {
                server.pool.recall(now, keep, &settings);
                self.return_excess(&name);
            }
            _ => {}
        }
    }

    fn take_grant(
        &mut self,
        name: &ids::BackendServerId,
        number: GrantNumber,
        slots: units::Slots,
        lease: time::SpanMs,
    ) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        if server.pool.holds(number) {
            return;
        }
        let now = self.now;
        if server
            .pool
            .granted(now, number, slots, lease, &self.settings)
        {
            self.counters.acquired += 1;
            let server = name.clone();
            self.actions.push(Action::Available { server });
        } else {
            // It came too late to be of use. Given back it serves others before it lapses.
            self.give_back(name, number, units::Slots::ZERO);
        }
    }

    pub(super) fn tick_borrowing(&mut self, name: &ids::BackendServerId) {
        let is_leaving = self.is_leaving();
        if let Some(server) = self.servers.get_mut(name) {
            let wishes = server.pool.tick(self.now, is_leaving, &self.settings);
            self.grant_wishes(name, wishes);
        }
    }

    pub(super) fn return_excess(&mut self, name: &ids::BackendServerId) {
        let is_leaving = self.is_leaving();
        if let Some(server) = self.servers.get_mut(name) {
            let wishes = server.pool.returns(self.now, is_leaving, &self.settings);
            self.grant_wishes(name, wishes);
        }
    }

    fn grant_wishes(&mut self, name: &ids::BackendServerId, wishes: Vec<Wish>) {
        let owner = self
            .servers
            .get(name)
            .and_then(|server| server.owner.clone());
        let Some(owner) = owner else {
            return;
        };
        for wish in wishes {
            match wish {
                Wish::Return { number, remaining } => self.give_back(name, number, remaining),
                Wish::Renew { number, attempt } => {
                    let message = SlotMessage::Renew {
                        server: name.clone(),
                        number,
                        attempt,
                    };
                    self.send(&owner, message);
                }
            }
        }
    }

    fn give_back(
        &mut self,
        name: &ids::BackendServerId,
        number: GrantNumber,
        remaining: units::Slots,
    ) {
        let owner = self
            .servers
            .get(name)
            .and_then(|server| server.owner.clone());
        if let Some(owner) = owner {
            let message = SlotMessage::Return {
                server: name.clone(),
                number,
                remaining,
            };
            self.send(&owner, message);
        }
    }
}
