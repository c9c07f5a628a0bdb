//! The holder's part of the slot exchange: acquires, renews and returns slots.
//!
//! A slot is the right to run one request on a backend server, granted by the server's owner, one of the
//! zone's instances, for a limited time.

use damaskvane_core::{ids, time, units};

use crate::exchange::event::Action;
use crate::exchange::server::InstanceIncarnation;
use crate::exchange::slot_exchange::SlotExchange;
use crate::holder::LeaseOp;
use crate::message::{GrantNumber, RefusalReason, SlotMessage};

impl SlotExchange {
    pub(super) fn handle_demand(&mut self, name: &ids::BackendServerId, waiting: units::Slots) {
        let (now, timeout) = (self.now, self.settings.response_timeout_ms);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let Some(owner) = server.owner.clone() else {
            return;
        };
        // An instance that is about to stop owns no servers but still acquires slots: clients send it
        // requests until their lookup responses expire, and those requests would otherwise wait and never get
        // a slot.
        server.pool.record_waiting(now, waiting);
        let slots = server.pool.slots_to_acquire(now, waiting, timeout);
        if slots == units::Slots::ZERO {
            return;
        }
        let number = server.pool.record_acquire(now, slots);
        let message = SlotMessage::Acquire {
            server: name.clone(),
            number,
            slots,
        };
        self.send(&owner, message);
    }

    pub(super) fn handle_owner_message(
        &mut self,
        from: &InstanceIncarnation,
        message: &SlotMessage,
    ) {
        let name = message.server().clone();
        let (now, settings) = (self.now, self.settings.clone());
        let Some(server) = self.servers.get_mut(&name) else {
            return;
        };
        if server.owner.as_ref() != Some(&from.instance) {
            // The sender handed its ownership over, or never owned the backend server. Grants from before the
            // handover are in the new owner's ledger (list of grants), but the grant of this message may be
            // missing there.
            self.counters.dropped_owner_messages += 1;
            return;
        }
        server.owner_refuses = refuses_slots(message).unwrap_or(server.owner_refuses);
        match *message {
            SlotMessage::Granted {
                number,
                slots,
                lease_ms,
                ..
            } => self.apply_grant(&name, number, slots, lease_ms),
            SlotMessage::Refused {
                number,
                reason,
                retry_after_ms,
                ..
            } => {
                server.pool.apply_refusal(number, now + retry_after_ms);
                if reason == RefusalReason::NotOwner {
                    self.reset_owner(&name);
                }
            }
            SlotMessage::Renewed {
                number,
                attempt,
                lease_ms,
                is_standing,
                ..
            } => {
                let is_applied =
                    server
                        .pool
                        .apply_renewal(number, attempt, lease_ms, is_standing, &settings);
                // A consent that was given since the renewal was requested would have discarded the request.
                if is_applied && is_standing {
                    server.promises.keep_only(from);
                }
            }
            SlotMessage::Recall { keep, .. } => {
                server.pool.apply_recall(now, keep, &settings);
                self.return_excess(&name);
            }
            _ => {}
        }
    }

    fn apply_grant(
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
            .apply_grant(now, number, slots, lease, &self.settings)
        {
            self.counters.acquired += 1;
            let server = name.clone();
            self.actions.push(Action::Available { server });
        } else {
            // The grant arrived too late. Returned slots are available to other instances at once, not only
            // when the grant expires at the owner.
            self.send_return(name, number, units::Slots::ZERO);
        }
    }

    pub(super) fn tick_acquiring(&mut self, name: &ids::BackendServerId) {
        let is_leaving = self.is_leaving();
        if let Some(server) = self.servers.get_mut(name) {
            let requests = server.pool.tick(self.now, is_leaving, &self.settings);
            self.send_requests(name, requests);
        }
    }

    pub(super) fn return_excess(&mut self, name: &ids::BackendServerId) {
        let is_leaving = self.is_leaving();
        if let Some(server) = self.servers.get_mut(name) {
            let requests = server
                .pool
                .collect_returns(self.now, is_leaving, &self.settings);
            self.send_requests(name, requests);
        }
    }

    fn send_requests(&mut self, name: &ids::BackendServerId, requests: Vec<LeaseOp>) {
        let owner = self
            .servers
            .get(name)
            .and_then(|server| server.owner.clone());
        let Some(owner) = owner else {
            return;
        };
        let standing = self.standing_request(name);
        for request in requests {
            match request {
                LeaseOp::Return { number, remaining } => self.send_return(name, number, remaining),
                LeaseOp::Renew { number, attempt } => {
                    let message = SlotMessage::Renew {
                        server: name.clone(),
                        number,
                        attempt,
                        standing: standing.clone(),
                    };
                    self.send(&owner, message);
                }
            }
        }
    }

    fn send_return(
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

/// Returns whether the message shows that its sender grants no slots; `None` if it shows neither.
///
/// An owner that waits for leases of earlier owners renews those that it knows, but grants none.
const fn refuses_slots(message: &SlotMessage) -> Option<bool> {
    match message {
        SlotMessage::Granted { .. } | SlotMessage::Recall { .. } => Some(false),
        SlotMessage::Refused {
            reason: RefusalReason::NotOwner | RefusalReason::Waiting | RefusalReason::NoAuthority,
            ..
        } => Some(true),
        _ => None,
    }
}
