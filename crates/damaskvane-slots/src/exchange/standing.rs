//! Standing leases: slots that a holder keeps while the owner of the backend server is lost, in doubt or waits.
//!
//! The owner grants the server's slots (rights to run one request on it). A lease of a fixed length ends soon after
//! its owner is lost, so that all slots of the server would stand idle until there is a new owner. With its first
//! renewal a lease becomes a standing one: it has no end of its own, and its holder uses it as long as it has
//! authority, the right to act that contact to other instances or the platform renews. So a holder of standing
//! leases acts like the owner of these slots, and a new owner has to do for it what it has to do for an earlier
//! owner: it needs the holder's consent, which reports the leases, or waits until the holder has certainly stopped.

use damaskvane_core::{ids, time};
use damaskvane_membership::view;

use crate::exchange::server::{InstanceIncarnation, Ownership};
use crate::exchange::slot_exchange::SlotExchange;
use crate::message::{ConsentedClaim, GrantKey, GrantNumber, LiveGrant, SlotMessage};

impl SlotExchange {
    /// Returns whether this instance may hold standing leases.
    ///
    /// A claimant requests the consent of each instance that it knows. Hence all others that may act have to know
    /// this instance. One that was fenced may act until it has certainly stopped, and of one that was fenced before
    /// the start of this instance it may not know.
    pub(super) fn may_hold_standing(&self) -> bool {
        let now = self.now;
        let mut members = self.roster.members.iter();
        let have_gone_stopped =
            members.all(|member| member.gone.is_none_or(|gone| gone.from <= now));
        let is_started = self
            .started_at
            .is_some_and(|started_at| now >= started_at + self.settings.unknown_fence_ms);
        self.may_claim()
            && self.has_authority()
            && !self.is_leaving()
            && have_gone_stopped
            && is_started
    }

    /// Returns the claims that a request for a standing lease names; `None` if this instance may hold none.
    pub(super) fn standing_request(
        &mut self,
        name: &ids::BackendServerId,
    ) -> Option<Vec<ConsentedClaim>> {
        if !self.may_hold_standing() {
            return None;
        }
        let (now, roster) = (self.now, &self.roster);
        let server = self.servers.get_mut(name)?;
        server
            .promises
            .drop_stopped(|claimant| has_stopped(claimant, roster, now));
        Some(server.promises.consented())
    }

    /// Returns whether the leases of a holder that has consented to `claims` may become standing ones.
    ///
    /// A claimant that completes its claim with the consent of the holder counts the leases that the holder
    /// reported then, and takes all others for expired soon after their owner stopped. So the claim has to be over.
    pub(super) fn may_grant_standing(
        &self,
        name: &ids::BackendServerId,
        claims: &[ConsentedClaim],
    ) -> bool {
        let Some(server) = self.servers.get(name) else {
            return false;
        };
        claims.iter().all(|claim| {
            let claimant = InstanceIncarnation {
                instance: claim.claimant.clone(),
                incarnation: claim.incarnation,
            };
            claimant == self.own
                || server.promises.is_over(&claimant, claim.claim)
                || has_stopped(&claimant, &self.roster, self.now)
        })
    }

    /// Returns whether a claim of another instance may be completed with the consent that this instance gave.
    ///
    /// That instance would not be asked if this one became the owner by the ledger of another, and both would grant
    /// the server's slots. With the consents of all it is asked, and its claim is over.
    pub(super) fn is_bound(&mut self, name: &ids::BackendServerId) -> bool {
        let (now, roster, own) = (self.now, &self.roster, &self.own);
        let Some(server) = self.servers.get_mut(name) else {
            return false;
        };
        server
            .promises
            .drop_stopped(|claimant| has_stopped(claimant, roster, now));
        server.promises.is_bound(own)
    }

    /// Tells all others that this instance has given up its claim.
    pub(super) fn send_release(&mut self, name: &ids::BackendServerId) {
        let others: Vec<ids::InstanceId> = self
            .others()
            .map(|member| member.instance.clone())
            .collect();
        for to in others {
            let message = SlotMessage::Release {
                server: name.clone(),
                last_claim: self.last_claim,
            };
            self.send(&to, message);
        }
    }

    pub(super) fn record_release(
        &mut self,
        from: &InstanceIncarnation,
        name: &ids::BackendServerId,
        last_claim: u64,
    ) {
        if let Some(server) = self.servers.get_mut(name) {
            server.promises.record_over(from, last_claim);
        }
    }

    /// Sets until when this instance may use its standing leases.
    pub(super) fn apply_authority(&mut self) {
        let (now, until) = (self.now, self.roster.authority_until);
        for server in self.servers.values_mut() {
            server.pool.set_authority(now, until);
        }
    }

    /// Ends the standing leases of holders that have stopped, and asks the others for their grants, so that a lost
    /// return does not keep slots out of use.
    pub(super) fn tick_standing(&mut self, name: &ids::BackendServerId) {
        let (now, every) = (self.now, self.settings.lease_ms);
        let expiry = self.settings.expiry_ms();
        let roster = &self.roster;
        let own = &self.own;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let end_of = |key: &GrantKey| end_of(key, own, roster, now, expiry);
        let holders = match &mut server.ownership {
            Ownership::Waiting(ledger) => {
                ledger.end_standing(end_of);
                return;
            }
            Ownership::Serving(ledger) => {
                ledger.end_standing(end_of);
                ledger.standing_holders()
            }
            Ownership::None | Ownership::Claiming(_) => return,
        };
        if holders.is_empty() || now.since(server.audited_at) < every {
            return;
        }
        server.audited_at = now;
        for holder in holders {
            let server = name.clone();
            self.send(&holder, SlotMessage::Audit { server });
        }
    }

    /// Ends the standing leases and the claims of instances that have stopped by the earlier roster: the new one
    /// may not contain them any more.
    pub(super) fn apply_forgotten(&mut self, earlier: &view::Roster) {
        let (now, expiry) = (self.now, self.settings.expiry_ms());
        let own = &self.own;
        let end_of = |key: &GrantKey| end_of(key, own, earlier, now, expiry);
        for server in self.servers.values_mut() {
            server
                .promises
                .drop_stopped(|claimant| has_stopped(claimant, earlier, now));
            match &mut server.ownership {
                Ownership::Waiting(ledger) => ledger.end_standing(end_of),
                Ownership::Serving(ledger) => ledger.end_standing(end_of),
                Ownership::None | Ownership::Claiming(_) => {}
            }
        }
    }

    /// Answers an owner with the grants that this instance holds or may still receive.
    pub(super) fn handle_audit(&mut self, from: &InstanceIncarnation, name: &ids::BackendServerId) {
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let held = SlotMessage::Held {
            server: name.clone(),
            last_number: server.pool.last_number(),
            grants: server.pool.live_grants(),
        };
        self.reply(from, held);
    }

    pub(super) fn handle_held(
        &mut self,
        from: &InstanceIncarnation,
        name: &ids::BackendServerId,
        last_number: GrantNumber,
        grants: &[LiveGrant],
    ) {
        // A request under a lease that its holder has dropped ends within the margin.
        let until = self.now + self.settings.margin_ms;
        let held = grants
            .iter()
            .map(|grant| (grant.number, grant.slots))
            .collect();
        let (holder, incarnation) = (&from.instance, from.incarnation);
        // As long as an owner waits, an earlier one may have granted the slots anew that a holder returned to it.
        if let Some(Ownership::Serving(ledger)) = self
            .servers
            .get_mut(name)
            .map(|server| &mut server.ownership)
        {
            ledger.reconcile(holder, incarnation, last_number, &held, until);
        }
    }
}

/// Returns when the standing lease of a holder expires; `None` as long as the holder may act.
fn end_of(
    key: &GrantKey,
    own: &InstanceIncarnation,
    roster: &view::Roster,
    now: time::TimeMs,
    expiry: time::SpanMs,
) -> Option<time::TimeMs> {
    if key.holder == own.instance {
        return (key.incarnation != own.incarnation).then_some(now + expiry);
    }
    let member = roster
        .members
        .iter()
        .find(|member| member.instance == key.holder)?;
    if member.incarnation > key.incarnation {
        return Some(now + expiry);
    }
    let gone = member
        .gone
        .filter(|gone| gone.incarnation >= key.incarnation)?;
    (gone.from <= now).then_some(gone.from + expiry)
}

/// Returns whether an incarnation has certainly stopped to act as an owner.
fn has_stopped(
    incarnation: &InstanceIncarnation,
    roster: &view::Roster,
    now: time::TimeMs,
) -> bool {
    let mut members = roster.members.iter();
    let member = members.find(|member| member.instance == incarnation.instance);
    member.is_some_and(|member| {
        let gone = member
            .gone
            .filter(|gone| gone.incarnation >= incarnation.incarnation);
        member.incarnation > incarnation.incarnation || gone.is_some_and(|gone| gone.from <= now)
    })
}
