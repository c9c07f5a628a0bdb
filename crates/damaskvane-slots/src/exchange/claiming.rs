//! The transfer of ownership: claims of this instance, and consents to claims of others.
//!
//! The owner of a backend server is the instance that grants the server's slots (rights to run one request on
//! it) and records the grants in a ledger. A claim is the request to become the owner. An owner may act only
//! while it has authority, a right that contact to other instances or the platform renews. A fenced instance
//! is one whose entry at the platform another instance marked to end its authority. A gone instance is proven
//! to have stopped, or to be fenced or dropped from the platform's list.

use damaskvane_core::ids;
use damaskvane_membership::view;

use crate::claim::Claim;
use crate::exchange::blocked_by::BlockedBy;
use crate::exchange::server::Ownership;
use crate::exchange::slot_exchange::SlotExchange;
use crate::exchange::takeover::TakeoverWait;
use crate::exchange::wait::Wait;
use crate::ledger::{Grant, SlotLedger};
use crate::message::SlotMessage;

impl SlotExchange {
    /// Returns whether this instance may claim the backend servers that the hash assigns to it.
    ///
    /// Before this instance has seen itself on the platform's list, its roster (the known instances of the
    /// zone) may lack instances whose consent is needed. And another instance that can't read the list may
    /// not have this instance in its roster. If the owner handed its ledger to this instance and then
    /// stopped, the other instance would take over the backend server as well, and both would grant its
    /// slots.
    pub(super) fn may_claim(&self) -> bool {
        let mut others = self.others();
        self.roster.is_listed
            && others.all(|member| member.has_acknowledged_own || member.is_unheard_newcomer)
    }

    /// Starts, ends or completes a claim after the roster or the instance assigned by the hash has changed.
    pub(super) fn apply_assignment(&mut self, name: &ids::BackendServerId, is_own: bool) {
        let may_claim = is_own && self.may_claim();
        let now = self.now;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        match &server.ownership {
            Ownership::None if may_claim => {
                self.last_claim += 1;
                server.ownership = Ownership::Claiming(Claim::new(self.last_claim, now));
                self.request_consent(name);
                self.complete_if_consented(name);
            }
            Ownership::Claiming(_) if !is_own => {
                if let Ownership::Claiming(claim) = core::mem::take(&mut server.ownership) {
                    server.wait.merge(claim.wait().clone());
                    self.send_release(name);
                }
            }
            // Instances whose consent is missing may have been proven gone since the claim was sent.
            Ownership::Claiming(_) => self.complete_if_consented(name),
            _ => {}
        }
    }

    pub(super) fn tick_claim(&mut self, name: &ids::BackendServerId) {
        let (now, every) = (self.now, self.settings.claim_retry_ms);
        let expiry = self.settings.expiry_ms();
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
            Ownership::Waiting(mut ledger) => {
                ledger.open(now, expiry);
                server.ownership = match ledger.start(now) {
                    Ok(serving) => {
                        server.wait = TakeoverWait::default();
                        Ownership::Serving(serving)
                    }
                    Err(waiting) => Ownership::Waiting(waiting),
                };
            }
            other => server.ownership = other,
        }
    }

    /// Returns whether an instance has started since all instances of the roster consented to the claim.
    ///
    /// A fenced instance that has not noticed the fence may hand its ledger to a new instance while the
    /// authority of the fenced one lasts. Then both the new instance and this one would grant slots, and the
    /// backend server would shed requests.
    fn has_new_instances(&self, name: &ids::BackendServerId) -> bool {
        let consented = self
            .servers
            .get(name)
            .and_then(|server| server.consented.as_ref());
        consented.is_some_and(|consented| {
            self.others()
                .filter(|member| !member.is_unheard_newcomer)
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
                keeps_standing: true,
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

    /// Returns all other instances of the zone that are not proven gone, including those that send no
    /// heartbeats.
    pub(super) fn others(&self) -> impl Iterator<Item = &view::RosterMember> {
        self.roster
            .members
            .iter()
            .filter(|member| member.instance != self.own.instance && member.gone.is_none())
    }

    /// Completes a claim if all others have consented; the new owner then waits for unknown grants to expire.
    pub(super) fn complete_if_consented(&mut self, name: &ids::BackendServerId) {
        let has_all_consents = self.claim(name).is_some_and(|claim| {
            self.others()
                .all(|member| member.is_unheard_newcomer || claim.has_consent(&member.instance))
        });
        // While this instance has no authority, its roster may lack instances, and another instance may have
        // taken over the backend server.
        if !has_all_consents || !self.has_authority() || !self.roster.may_take_over {
            return;
        }
        let wait = self.unaccounted(name);
        self.counters.waited_out += 1;
        let consented = self.claim(name).map(Claim::consents);
        if let Some(server) = self.servers.get_mut(name) {
            server.consented = consented;
        }
        self.complete(name, Vec::new(), wait);
    }

    /// Returns what this instance has to wait for as the owner, with the consent of all others.
    ///
    /// The leases that the others hold are known from their consents. Only those are waited for that nobody
    /// reports: leases of instances that have ended, and grants that were made while the consents arrived.
    ///
    /// A new instance does not know which instances were fenced before it started; the consents report them.
    /// A gone instance can't report the fenced ones that it knew of. If any instance is gone, this instance
    /// therefore also waits until `unknown_fence_ms` after its start.
    fn unaccounted(&self, name: &ids::BackendServerId) -> TakeoverWait {
        let expiry = self.settings.expiry_ms();
        let own = self.servers.get(name);
        let unreported_until = own.map_or(self.now, |server| server.unreported_until);
        // A request under a lease that expired just before its holder consented may be on its way.
        let until = unreported_until.max(self.now + self.settings.margin_ms);
        let mut wait = TakeoverWait::new(Wait::new(BlockedBy::EarlierLeases, None, until));
        if let Some(claim) = self.claim(name) {
            wait.merge(claim.wait().clone());
        }
        if let Some(own) = own {
            wait.merge(own.wait.clone());
        }
        // An instance that was not asked may hold leases of an earlier owner whose ledger was lost.
        if let Some(newcomer) = self.others().find(|member| member.is_unheard_newcomer) {
            let instance = Some(newcomer.instance.clone());
            let until = self.now + expiry;
            wait.postpone(Wait::new(BlockedBy::EarlierLeases, instance, until));
        }
        for member in &self.roster.members {
            if let Some(gone) = member.gone {
                let reason = BlockedBy::StoppingInstance;
                wait.add(member.instance.clone(), gone.incarnation, gone.from, reason);
                let started_at = self.started_at.unwrap_or(self.now);
                let until = started_at + self.settings.unknown_fence_ms + expiry;
                wait.postpone(Wait::new(BlockedBy::UnknownFences, None, until));
            }
        }
        wait
    }

    /// Shortens the waits of this instance by proofs that others stopped earlier than was certain before.
    pub(super) fn shorten_waits(&mut self) {
        let (now, expiry) = (self.now, self.settings.expiry_ms());
        for server in self.servers.values_mut() {
            if let Ownership::Waiting(ledger) = &mut server.ownership {
                server.wait.apply_proofs(now, &self.roster);
                let last = server.wait.last(expiry);
                ledger.shorten(last.map_or(now, |last| last.until));
            }
        }
    }

    /// Makes this instance the owner, with the grants of the previous owner's ledger and the leases that
    /// holders reported. Slots are granted from the end of `wait` on.
    pub(super) fn complete(
        &mut self,
        name: &ids::BackendServerId,
        handed: Vec<Grant>,
        mut wait: TakeoverWait,
    ) {
        let (now, own) = (self.now, self.own.clone());
        let (margin, expiry) = (self.settings.margin_ms, self.settings.expiry_ms());
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let Ownership::Claiming(mut claim) = core::mem::take(&mut server.ownership) else {
            return;
        };
        let leases = server.pool.held_leases(now, &self.settings);
        claim.record_consent(now, own.instance.clone(), own.incarnation, leases, margin);
        let certain_until = claim.take_certain_until();
        let mut known = claim.into_reports();
        for grant in handed {
            known
                .entry(grant.key.clone())
                .and_modify(|report| report.until = report.until.max(grant.until))
                .or_insert(grant);
        }
        server.set_owner(Some(own.instance));
        server.pool.discard_pending_requests();
        server.queue.clear();
        wait.apply_proofs(now, &self.roster);
        let until = wait.last(expiry).map_or(now, |last| last.until);
        let mut ledger = SlotLedger::waiting(server.slots, known.into_values(), until);
        ledger.account(certain_until);
        server.wait = wait;
        server.ownership = Ownership::Waiting(ledger);
        self.tick_claim(name);
        self.tick_acquiring(name);
    }
}
