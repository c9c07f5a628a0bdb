//! The owner's part of the slot exchange: grants, renews and recalls slots.
//!
//! A slot is the right to run one request on a backend server. The server's owner grants slots to the zone's
//! instances, the holders, for a limited time, and records the grants in its ledger.

use std::collections::VecDeque;

use damaskvane_core::{ids, time, units};

use crate::exchange::server::{InstanceIncarnation, Ownership, QueuedAcquire, Server};
use crate::exchange::slot_exchange::SlotExchange;
use crate::ledger::{Phase, SlotLedger};
use crate::message::{GrantKey, GrantNumber, RefusalReason, SlotMessage};

/// A grant that is in the ledger and has to be sent to its holder.
#[derive(Debug)]
struct NewGrant {
    key: GrantKey,
    slots: units::Slots,
}

impl SlotExchange {
    pub(super) fn handle_holder_message(
        &mut self,
        from: &InstanceIncarnation,
        message: SlotMessage,
    ) {
        match message {
            SlotMessage::Acquire {
                server,
                number,
                slots,
            } => self.handle_acquire(from, &server, number, slots),
            SlotMessage::Renew {
                server,
                number,
                attempt,
                standing,
            } => {
                let is_standing =
                    standing.is_some_and(|claims| self.may_grant_standing(&server, &claims));
                self.handle_renew(from, &server, number, attempt, is_standing);
            }
            SlotMessage::Return {
                server,
                number,
                remaining,
            } => self.handle_return(from, &server, number, remaining),
            SlotMessage::Held {
                server,
                last_number,
                grants,
            } => self.handle_held(from, &server, last_number, &grants),
            _ => {}
        }
    }

    pub(super) fn tick_granting(&mut self, name: &ids::BackendServerId) {
        let now = self.now;
        let queue_timeout_ms = self.settings.response_timeout_ms.get() * 2;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server
            .queue
            .retain(|queued| now.since(queued.requested_at).get() < queue_timeout_ms);
        self.serve_queue(name);
    }

    fn handle_acquire(
        &mut self,
        from: &InstanceIncarnation,
        name: &ids::BackendServerId,
        number: GrantNumber,
        slots: units::Slots,
    ) {
        if let Err((reason, retry_after)) = self.check_can_grant(name) {
            self.refuse(from, name, number, reason, retry_after);
            return;
        }
        let key = key_of(from, number);
        let requested_at = self.now;
        if let Some(server) = self.servers.get_mut(name) {
            // A new request of a holder replaces the holder's queued one and takes its place in the queue.
            let waiting = server
                .queue
                .iter_mut()
                .find(|queued| queued.key.holder == key.holder);
            let queued = QueuedAcquire {
                key,
                slots,
                requested_at,
            };
            match waiting {
                Some(waiting) => *waiting = queued,
                None => server.queue.push_back(queued),
            }
        }
        self.serve_queue(name);
    }

    fn check_can_grant(
        &self,
        name: &ids::BackendServerId,
    ) -> Result<(), (RefusalReason, time::SpanMs)> {
        let retry_after = self.settings.response_timeout_ms;
        match self.servers.get(name).map(|server| &server.ownership) {
            Some(Ownership::Serving(_)) if self.has_authority() => Ok(()),
            Some(Ownership::Serving(_)) => Err((RefusalReason::NoAuthority, retry_after)),
            Some(Ownership::Waiting(ledger)) if ledger.grants_slots() && self.has_authority() => {
                Ok(())
            }
            Some(Ownership::Waiting(ledger)) => {
                let wait = ledger.until().since(self.now);
                Err((RefusalReason::Waiting, wait.min(retry_after)))
            }
            Some(Ownership::Claiming(_)) => Err((RefusalReason::Waiting, retry_after)),
            Some(Ownership::None) | None => Err((RefusalReason::NotOwner, retry_after)),
        }
    }

    fn refuse(
        &mut self,
        from: &InstanceIncarnation,
        name: &ids::BackendServerId,
        number: GrantNumber,
        reason: RefusalReason,
        retry_after_ms: time::SpanMs,
    ) {
        *self.counters.refused.entry(reason).or_default() += 1;
        let message = SlotMessage::Refused {
            server: name.clone(),
            number,
            reason,
            retry_after_ms,
        };
        self.reply(from, message);
    }

    /// Grants slots to queued acquire requests in queue order.
    fn serve_queue(&mut self, name: &ids::BackendServerId) {
        if !self.has_authority() {
            return;
        }
        let (now, until) = (self.now, self.now + self.settings.lease_ms);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let queue = &mut server.queue;
        let (new_grants, is_within_slots) = match &mut server.ownership {
            Ownership::Serving(ledger) => grant_queued(queue, ledger, now, until),
            Ownership::Waiting(ledger) => grant_queued(queue, ledger, now, until),
            Ownership::None | Ownership::Claiming(_) => return,
        };
        if !is_within_slots {
            // The new grants stay in the ledger until they expire, and are not sent to their holders.
            self.report_broken_invariant("slots lent above the backend server's limit");
            return;
        }
        self.send_grants(name, new_grants);
        self.recall_if_contended(name);
    }

    fn send_grants(&mut self, name: &ids::BackendServerId, new_grants: Vec<NewGrant>) {
        for NewGrant { key, slots } in new_grants {
            self.counters.granted += 1;
            let message = SlotMessage::Granted {
                server: name.clone(),
                number: key.number,
                slots,
                lease_ms: self.settings.lease_ms,
            };
            let holder = InstanceIncarnation {
                instance: key.holder,
                incarnation: key.incarnation,
            };
            self.reply(&holder, message);
        }
    }

    /// Recalls free slots, and slots above an equal share, from holders while acquire requests wait.
    ///
    /// Otherwise a holder with steady load would keep its slots forever, and requests at other instances
    /// would be refused while the backend server serves one instance only.
    fn recall_if_contended(&mut self, name: &ids::BackendServerId) {
        let (now, every) = (self.now, self.settings.recall_interval_ms);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let is_recent = server
            .recalled_at
            .is_some_and(|recalled_at| now.since(recalled_at) < every);
        if server.queue.is_empty() || is_recent {
            return;
        }
        server.recalled_at = Some(now);
        let recalls = recalls(server);
        self.counters.recall_rounds += 1;
        for (to, keep) in recalls {
            self.counters.recalled += 1;
            let server = name.clone();
            self.send(&to, SlotMessage::Recall { server, keep });
        }
    }

    fn handle_renew(
        &mut self,
        from: &InstanceIncarnation,
        name: &ids::BackendServerId,
        number: GrantNumber,
        attempt: u32,
        is_standing: bool,
    ) {
        let (now, lease_ms) = (self.now, self.settings.lease_ms);
        let has_authority = self.has_authority();
        let key = key_of(from, number);
        let until = now + lease_ms;
        let all_expired_at = now + self.settings.expiry_ms();
        let ownership = self
            .servers
            .get_mut(name)
            .map(|server| &mut server.ownership);
        let renewed = match ownership {
            _ if !has_authority => Err(RefusalReason::NoAuthority),
            Some(Ownership::Serving(ledger)) => Ok(renew(ledger, now, &key, until, is_standing)),
            // A fenced instance is one that lost its ownership but may not have noticed. As long as it may
            // act, it may grant the slots of leases that have expired by its ledger.
            Some(Ownership::Waiting(ledger)) if ledger.until() > all_expired_at => {
                Err(RefusalReason::Waiting)
            }
            // Grants in the ledger may be renewed while this owner waits for unknown grants to expire.
            Some(Ownership::Waiting(ledger)) => Ok(renew(ledger, now, &key, until, is_standing)),
            Some(Ownership::Claiming(_)) => Err(RefusalReason::Waiting),
            Some(Ownership::None) | None => Err(RefusalReason::NotOwner),
        };
        let reason = match renewed {
            Ok(true) => {
                let message = SlotMessage::Renewed {
                    server: name.clone(),
                    number,
                    attempt,
                    lease_ms,
                    is_standing,
                };
                self.reply(from, message);
                return;
            }
            Ok(false) => RefusalReason::UnknownGrant,
            Err(reason) => reason,
        };
        self.refuse(
            from,
            name,
            number,
            reason,
            self.settings.response_timeout_ms,
        );
    }

    fn handle_return(
        &mut self,
        from: &InstanceIncarnation,
        name: &ids::BackendServerId,
        number: GrantNumber,
        remaining: units::Slots,
    ) {
        let key = key_of(from, number);
        match self
            .servers
            .get_mut(name)
            .map(|server| &mut server.ownership)
        {
            Some(Ownership::Serving(ledger)) => ledger.return_slots(&key, remaining),
            Some(Ownership::Waiting(ledger)) => ledger.return_slots(&key, remaining),
            Some(Ownership::Claiming(claim)) => claim.return_slots(&key, remaining),
            Some(Ownership::None) | None => {}
        }
        self.serve_queue(name);
    }
}

/// Renews a grant, as a standing lease if `is_standing`; returns whether the ledger has it within its limit.
fn renew<P>(
    ledger: &mut SlotLedger<P>,
    now: time::TimeMs,
    key: &GrantKey,
    until: time::TimeMs,
    is_standing: bool,
) -> bool {
    let is_renewed = ledger.renew(now, key, until);
    if is_renewed && is_standing {
        ledger.make_standing(key);
    }
    is_renewed
}

/// Grants slots to the acquire requests at the front of a queue, and returns the grants, and whether all grants
/// of the ledger are within the server's slots.
fn grant_queued<P: Phase>(
    queue: &mut VecDeque<QueuedAcquire>,
    ledger: &mut SlotLedger<P>,
    now: time::TimeMs,
    until: time::TimeMs,
) -> (Vec<NewGrant>, bool) {
    let mut new_grants = Vec::new();
    while let Some(next) = queue.front() {
        let Ok(slots) = ledger.grant(now, next.key.clone(), next.slots, until) else {
            break;
        };
        let key = next.key.clone();
        queue.pop_front();
        new_grants.push(NewGrant { key, slots });
    }
    let is_within_slots = new_grants.is_empty() || ledger.is_within_slots();
    (new_grants, is_within_slots)
}

fn key_of(holder: &InstanceIncarnation, number: GrantNumber) -> GrantKey {
    GrantKey {
        holder: holder.instance.clone(),
        incarnation: holder.incarnation,
        number,
    }
}

/// Returns the holders, each with the number of slots that it may keep.
///
/// Holders above an equal share of the server's slots have to return as many slots in total as instances
/// below that share wait for, and no more.
fn recalls(server: &Server) -> Vec<(ids::InstanceId, units::Slots)> {
    let Ownership::Serving(ledger) = &server.ownership else {
        return Vec::new();
    };
    let held = ledger.held();
    let waiting = server.queue.iter().map(|queued| &queued.key.holder);
    let new_holders = waiting.filter(|holder| !held.contains_key(*holder)).count();
    let sharers = u32::try_from(held.len() + new_holders).unwrap_or(u32::MAX);
    let share = ledger.slots().get().checked_div(sharers);
    let share = units::Slots::new(share.unwrap_or_default());
    let missing = server.queue.iter().map(|queued| {
        let current = held.get(&queued.key.holder).copied().unwrap_or_default();
        // With fewer slots than sharers, each sharer must get one slot in turn.
        let min_share = units::Slots::new(share.get().max(1));
        min_share.saturating_sub(current).min(queued.slots)
    });
    let mut needed: units::Slots = missing.sum();
    let mut recalls = Vec::new();
    for (holder, current) in held {
        let surplus = current.saturating_sub(share).min(needed);
        needed = needed.saturating_sub(surplus);
        recalls.push((holder, current.saturating_sub(surplus)));
    }
    recalls
}
