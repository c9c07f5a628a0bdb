//! The part of the aggregate that takes over backend servers and hands them on.

use damaskvane_core::{ids, time};
use damaskvane_membership::view;

use crate::claim::Claim;
use crate::exchange::aggregate::SlotExchange;
use crate::exchange::server::{InstanceIncarnation, Ownership};
use crate::ledger::{Grant, SlotLedger};
use crate::message::{HeldLease, LedgerHandover, SlotMessage};

impl SlotExchange {
    /// Whether this instance may claim what the hash names it for.
    ///
    /// Without having seen itself on the list it may know too few others to ask. And one that can't read
    /// the list may not know of it: should the owner hand its ledger over and then end, that one would take
    /// the backend server for its own, and both would lend its slots.
    pub(super) fn may_claim(&self) -> bool {
        self.roster.is_listed && self.others().all(|member| member.hears_own)
    }

    /// Begins or ends a claim after the hash has named another owner.
    pub(super) fn apply_assignment(&mut self, name: &ids::BackendServerId, is_own: bool) {
        let may_claim = is_own && self.may_claim();
        let now = self.now;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        match server.ownership {
            Ownership::None if may_claim => {
                self.last_claim += 1;
                server.ownership = Ownership::Claiming(Claim::new(self.last_claim, now));
                self.request_consent(name);
                self.complete_if_consented(name);
            }
            Ownership::Claiming(_) if !is_own => server.ownership = Ownership::None,
            // Others may have gone, or been proven gone, since they were asked.
            Ownership::Claiming(_) => self.complete_if_consented(name),
            _ => {}
        }
    }

    pub(super) fn tick_claim(&mut self, name: &ids::BackendServerId) {
        let (now, every) = (self.now, self.settings.claim_retry_ms);
        let has_new_instances = self.has_new_instances(name);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        match core::mem::take(&mut server.ownership) {
            Ownership::Claiming(mut claim) => {
                let is_due = claim.is_retry_due(now, every);
                server.ownership = Ownership::Claiming(claim);
                if is_due {
                    self.request_consent(name);
                    self.complete_if_consented(name);
                }
            }
            Ownership::Waiting(ledger) if has_new_instances && ledger.until() <= now => {
                self.restart_claim(name);
            }
            Ownership::Waiting(ledger) => {
                server.ownership = match ledger.start(now) {
                    Ok(serving) => Ownership::Serving(serving),
                    Err(waiting) => Ownership::Waiting(waiting),
                };
            }
            other => server.ownership = other,
        }
    }

    /// Whether an instance has started since all that were there consented.
    ///
    /// One that was fenced without knowing it may hand its ledger to a newcomer while its authority
    /// lasts. Both the newcomer and this instance would lend then, and the backend server would shed.
    fn has_new_instances(&self, name: &ids::BackendServerId) -> bool {
        let consented = self
            .servers
            .get(name)
            .and_then(|server| server.consented.as_ref());
        consented.is_some_and(|consented| {
            self.others()
                .any(|member| consented.get(&member.instance) < Some(&member.incarnation))
        })
    }

    fn restart_claim(&mut self, name: &ids::BackendServerId) {
        self.last_claim += 1;
        let claim = Claim::new(self.last_claim, self.now);
        if let Some(server) = self.servers.get_mut(name) {
            server.consented = None;
            server.ownership = Ownership::Claiming(claim);
        }
        self.request_consent(name);
        self.complete_if_consented(name);
    }

    fn request_consent(&mut self, name: &ids::BackendServerId) {
        let Some(claim) = self.claim(name) else {
            return;
        };
        let number = claim.number();
        let missing: Vec<ids::InstanceId> = self
            .others()
            .filter(|member| !claim.has_consent(&member.instance))
            .map(|member| member.instance.clone())
            .collect();
        for to in missing {
            let server = name.clone();
            let message = SlotMessage::Claim {
                server,
                claim: number,
            };
            self.send(&to, message);
        }
    }

    fn claim(&self, name: &ids::BackendServerId) -> Option<&Claim> {
        match self.servers.get(name).map(|server| &server.ownership) {
            Some(Ownership::Claiming(claim)) => Some(claim),
            _ => None,
        }
    }

    /// All other instances of the zone that are not proven gone, the silent ones among them.
    fn others(&self) -> impl Iterator<Item = &view::RosterMember> {
        self.roster
            .members
            .iter()
            .filter(|member| member.instance != self.own.instance && member.gone.is_none())
    }

    /// Completes a claim to which all have consented, and waits for unknown grants to lapse.
    fn complete_if_consented(&mut self, name: &ids::BackendServerId) {
        let has_all_consents = self.claim(name).is_some_and(|claim| {
            self.others()
                .all(|member| claim.has_consent(&member.instance))
        });
        // Without authority the roster may lack whom to ask, and another may have taken over by now.
        if !has_all_consents || !self.has_authority() || !self.roster.may_take_over {
            return;
        }
        let until = self.last_possible_use(name) + self.settings.expiry_ms();
        self.counters.waited_out += 1;
        let consented = self.claim(name).map(Claim::consents);
        if let Some(server) = self.servers.get_mut(name) {
            server.consented = consented;
        }
        self.complete(name, Vec::new(), until);
    }

    /// When the last of those that are gone has surely stopped lending and using.
    ///
    /// One that has just started does not know whom others fenced before that. Those who consent tell; if
    /// one is gone that could have told, only time does.
    fn last_possible_use(&self, name: &ids::BackendServerId) -> time::TimeMs {
        let reported = self.claim(name).map(Claim::not_before);
        let gone = self.roster.members.iter().filter_map(|member| member.gone);
        let gone_from = gone.map(|gone| gone.from).max();
        let unknown = self
            .started_at
            .filter(|_| gone_from.is_some())
            .map(|started_at| started_at + self.settings.unknown_fence_ms);
        let last = gone_from.max(reported).max(unknown);
        last.unwrap_or(self.now).max(self.now)
    }

    /// Begins as owner, with what was handed over and what was reported.
    fn complete(&mut self, name: &ids::BackendServerId, handed: Vec<Grant>, until: time::TimeMs) {
        let (now, own) = (self.now, self.own.clone());
        let margin = self.settings.margin_ms;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let Ownership::Claiming(mut claim) = core::mem::take(&mut server.ownership) else {
            return;
        };
        let leases = server.pool.held_leases(now);
        claim.record_consent(now, own.instance.clone(), own.incarnation, leases, margin);
        let mut known = claim.into_reports();
        for grant in handed {
            known
                .entry(grant.key.clone())
                .and_modify(|report| report.until = report.until.max(grant.until))
                .or_insert(grant);
        }
        server.set_owner(Some(own.instance));
        server.queue.clear();
        let ledger = SlotLedger::waiting(server.slots, known.into_values(), until);
        server.ownership = Ownership::Waiting(ledger);
        self.tick_claim(name);
    }

    pub(super) fn handle_claim_message(
        &mut self,
        from: &InstanceIncarnation,
        message: SlotMessage,
    ) {
        match message {
            SlotMessage::Claim { server, claim } => self.handle_claim(from, &server, claim),
            SlotMessage::Consent {
                server,
                claim,
                leases,
                ledger,
                wait_ms,
            } => {
                self.delay_claim(&server, claim, wait_ms);
                self.apply_consent(from, &server, claim, leases, ledger);
            }
            SlotMessage::Decline { .. } => self.counters.declined += 1,
            _ => {}
        }
    }

    fn handle_claim(
        &mut self,
        from: &InstanceIncarnation,
        name: &ids::BackendServerId,
        claim: u64,
    ) {
        let is_assigned = self.assigned_owner(name).as_ref() == Some(&from.instance);
        let consent = if is_assigned {
            self.give_consent(name, claim, &from.instance)
        } else {
            None
        };
        let declined = SlotMessage::Decline {
            server: name.clone(),
            claim,
        };
        self.reply(from, consent.unwrap_or(declined));
    }

    /// Gives up all part in owning a backend server.
    ///
    /// The ledger goes with the consent. Should it be lost, the new owner gets the next consent without
    /// it and waits for everything to lapse.
    fn give_consent(
        &mut self,
        name: &ids::BackendServerId,
        claim: u64,
        owner: &ids::InstanceId,
    ) -> Option<SlotMessage> {
        let now = self.now;
        let has_authority = self.has_authority();
        let server = self.servers.get_mut(name)?;
        let ledger = match core::mem::take(&mut server.ownership) {
            Ownership::None | Ownership::Claiming(_) => None,
            Ownership::Waiting(ledger) => Some(LedgerHandover {
                entries: ledger.entries(now),
                wait_ms: ledger.until().since(now),
            }),
            Ownership::Serving(ledger) => Some(LedgerHandover {
                entries: ledger.entries(now),
                wait_ms: time::SpanMs::ZERO,
            }),
        };
        // Another may have lent since authority was lost; the ledger then is not all there is.
        let ledger = ledger.filter(|_| has_authority);
        server.queue.clear();
        server.set_owner(Some(owner.clone()));
        server.pool.discard_pending_acquires();
        let leases = server.pool.held_leases(now);
        // The claimant may know neither those that are gone nor those that the list has dropped.
        let stopped = self.roster.members.iter().filter_map(|member| {
            let gone_from = member.gone.map(|gone| gone.from);
            gone_from.or(member.dropped_until)
        });
        let wait_ms = stopped.map(|stopped_at| stopped_at.since(now)).max();
        Some(SlotMessage::Consent {
            server: name.clone(),
            claim,
            leases,
            ledger,
            wait_ms: wait_ms.unwrap_or_default(),
        })
    }

    fn delay_claim(&mut self, name: &ids::BackendServerId, number: u64, wait: time::SpanMs) {
        let not_before = self.now + wait;
        let ownership = self
            .servers
            .get_mut(name)
            .map(|server| &mut server.ownership);
        if let Some(Ownership::Claiming(claim)) = ownership
            && claim.number() == number
        {
            claim.delay(not_before);
        }
    }

    fn apply_consent(
        &mut self,
        from: &InstanceIncarnation,
        name: &ids::BackendServerId,
        number: u64,
        leases: Vec<HeldLease>,
        ledger: Option<LedgerHandover>,
    ) {
        let (now, margin) = (self.now, self.settings.margin_ms);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let Ownership::Claiming(claim) = &mut server.ownership else {
            return;
        };
        if claim.number() != number {
            return;
        }
        let instance = from.instance.clone();
        claim.record_consent(now, instance, from.incarnation, leases, margin);
        match ledger {
            None => self.complete_if_consented(name),
            Some(ledger) => self.apply_handover(name, ledger),
        }
    }

    /// The present owner's ledger names all grants there are, so it needs nobody else's consent.
    fn apply_handover(&mut self, name: &ids::BackendServerId, ledger: LedgerHandover) {
        let now = self.now;
        let grants = ledger.entries.into_iter().map(|entry| Grant {
            key: entry.key,
            slots: entry.slots,
            until: now + entry.remaining_ms,
        });
        self.counters.handed_over += 1;
        if let Some(server) = self.servers.get_mut(name) {
            server.consented = None;
        }
        self.complete(name, grants.collect(), now + ledger.wait_ms);
    }
}
