//! The part of the aggregate that lends, as the owner of backend servers.

use damaskvane_core::{ids, time, units};

use crate::exchange::aggregate::SlotExchange;
use crate::exchange::server::{Ownership, Queued, Sender, Server};
use crate::message::{GrantKey, GrantNumber, RefusalReason, SlotMessage};

/// A grant that was just lent.
#[derive(Debug)]
struct Lent {
    key: GrantKey,
    slots: units::Slots,
}

impl SlotExchange {
    pub(super) fn lend(&mut self, from: &Sender, message: SlotMessage) {
        match message {
            SlotMessage::Acquire {
                server,
                number,
                slots,
            } => self.take_ask(from, &server, number, slots),
            SlotMessage::Renew {
                server,
                number,
                attempt,
            } => self.renew(from, &server, number, attempt),
            SlotMessage::Return {
                server,
                number,
                remaining,
            } => self.take_back(from, &server, number, remaining),
            _ => {}
        }
    }

    pub(super) fn tick_lending(&mut self, name: &ids::BackendServerId) {
        let now = self.now;
        let asked_limit = self.settings.answer_ms.get() * 2;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server
            .queue
            .retain(|queued| now.since(queued.asked_at).get() < asked_limit);
        self.serve_queue(name);
    }

    fn take_ask(
        &mut self,
        from: &Sender,
        name: &ids::BackendServerId,
        number: GrantNumber,
        slots: units::Slots,
    ) {
        if let Err((reason, retry_after)) = self.may_lend(name) {
            self.refuse(from, name, number, reason, retry_after);
            return;
        }
        let key = key_of(from, number);
        let asked_at = self.now;
        if let Some(server) = self.servers.get_mut(name) {
            // A holder that asks again has given up its earlier ask, but keeps its place.
            let waiting = server
                .queue
                .iter_mut()
                .find(|queued| queued.key.holder == key.holder);
            let queued = Queued {
                key,
                slots,
                asked_at,
            };
            match waiting {
                Some(waiting) => *waiting = queued,
                None => server.queue.push_back(queued),
            }
        }
        self.serve_queue(name);
    }

    fn may_lend(&self, name: &ids::BackendServerId) -> Result<(), (RefusalReason, time::SpanMs)> {
        let answer = self.settings.answer_ms;
        match self.servers.get(name).map(|server| &server.ownership) {
            Some(Ownership::Serving(_)) if self.has_authority() => Ok(()),
            Some(Ownership::Serving(_)) => Err((RefusalReason::NoAuthority, answer)),
            Some(Ownership::Waiting(ledger)) => {
                let wait = ledger.until().since(self.now);
                Err((RefusalReason::Waiting, wait.min(answer)))
            }
            Some(Ownership::Claiming(_)) => Err((RefusalReason::Waiting, answer)),
            Some(Ownership::None) | None => Err((RefusalReason::NotOwner, answer)),
        }
    }

    fn refuse(
        &mut self,
        from: &Sender,
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

    /// Lends to those who wait, in the order in which they asked.
    fn serve_queue(&mut self, name: &ids::BackendServerId) {
        if !self.has_authority() {
            return;
        }
        let (now, until) = (self.now, self.now + self.settings.lease_ms);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let Ownership::Serving(ledger) = &mut server.ownership else {
            return;
        };
        let mut lent = Vec::new();
        while let Some(next) = server.queue.front() {
            let Ok(slots) = ledger.grant(now, next.key.clone(), next.slots, until) else {
                break;
            };
            let key = next.key.clone();
            server.queue.pop_front();
            lent.push(Lent { key, slots });
        }
        let is_sound = lent.is_empty() || ledger.is_sound();
        if !is_sound {
            // The grants stay in the ledger and lapse; nobody is told of them.
            self.broken("slots lent above the backend server's limit");
            return;
        }
        self.announce(name, lent);
        self.recall_if_contended(name);
    }

    fn announce(&mut self, name: &ids::BackendServerId, lent: Vec<Lent>) {
        for Lent { key, slots } in lent {
            self.counters.granted += 1;
            let message = SlotMessage::Granted {
                server: name.clone(),
                number: key.number,
                slots,
                lease_ms: self.settings.lease_ms,
            };
            let holder = Sender {
                instance: key.holder,
                incarnation: key.incarnation,
            };
            self.reply(&holder, message);
        }
    }

    /// Asks holders for what is idle, or above their part, while others wait.
    ///
    /// A holder with steady load would otherwise keep its slots for ever, and requests at another
    /// instance would be refused beside a backend server with work for one instance only.
    fn recall_if_contended(&mut self, name: &ids::BackendServerId) {
        let (now, every) = (self.now, self.settings.recall_every_ms);
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
        self.counters.queued += 1;
        for (to, keep) in recalls {
            self.counters.recalled += 1;
            let server = name.clone();
            self.send(&to, SlotMessage::Recall { server, keep });
        }
    }

    fn renew(
        &mut self,
        from: &Sender,
        name: &ids::BackendServerId,
        number: GrantNumber,
        attempt: u32,
    ) {
        let (now, lease_ms) = (self.now, self.settings.lease_ms);
        let has_authority = self.has_authority();
        let key = key_of(from, number);
        let until = now + lease_ms;
        let lapsed_at = now + self.settings.lapse_ms();
        let ownership = self
            .servers
            .get_mut(name)
            .map(|server| &mut server.ownership);
        let renewed = match ownership {
            _ if !has_authority => Err(RefusalReason::NoAuthority),
            Some(Ownership::Serving(ledger)) => Ok(ledger.renew(now, &key, until)),
            // One that was fenced may lend again what it counts as lapsed, for as long as it may act.
            Some(Ownership::Waiting(ledger)) if ledger.until() > lapsed_at => {
                Err(RefusalReason::Waiting)
            }
            // Known grants are counted already, so they may go on while unknown ones lapse.
            Some(Ownership::Waiting(ledger)) => Ok(ledger.renew(now, &key, until)),
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
                };
                self.reply(from, message);
                return;
            }
            Ok(false) => RefusalReason::UnknownGrant,
            Err(reason) => reason,
        };
        self.refuse(from, name, number, reason, self.settings.answer_ms);
    }

    fn take_back(
        &mut self,
        from: &Sender,
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
            Some(Ownership::Serving(ledger)) => ledger.give_back(&key, remaining),
            Some(Ownership::Waiting(ledger)) => ledger.give_back(&key, remaining),
            Some(Ownership::Claiming(claim)) => claim.give_back(&key, remaining),
            Some(Ownership::None) | None => {}
        }
        self.serve_queue(name);
    }
}

fn key_of(holder: &Sender, number: GrantNumber) -> GrantKey {
    GrantKey {
        holder: holder.instance.clone(),
        incarnation: holder.incarnation,
        number,
    }
}

/// Who holds slots, and how many each may keep.
///
/// One that holds more than an equal part gives up what those below theirs wait for, and no more.
fn recalls(server: &Server) -> Vec<(ids::InstanceId, units::Slots)> {
    let Ownership::Serving(ledger) = &server.ownership else {
        return Vec::new();
    };
    let held = ledger.held();
    let waiting = server.queue.iter().map(|queued| &queued.key.holder);
    let new = waiting.filter(|holder| !held.contains_key(*holder)).count();
    let sharers = u32::try_from(held.len() + new).unwrap_or(u32::MAX);
    let part = ledger.slots().get().checked_div(sharers);
    let part = units::Slots::new(part.unwrap_or_default());
    let below = server.queue.iter().map(|queued| {
        let has = held.get(&queued.key.holder).copied().unwrap_or_default();
        // Where there are fewer slots than sharers, each must have one in turn.
        let least = units::Slots::new(part.get().max(1));
        least.saturating_sub(has).min(queued.slots)
    });
    let mut needed: units::Slots = below.sum();
    let mut recalls = Vec::new();
    for (holder, has) in held {
        let gives = has.saturating_sub(part).min(needed);
        needed = needed.saturating_sub(gives);
        recalls.push((holder, has.saturating_sub(gives)));
    }
    recalls
}
