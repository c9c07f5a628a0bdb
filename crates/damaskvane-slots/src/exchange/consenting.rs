//! Consents of this instance to claims of others.
//!
//! The owner of a backend server is the instance that grants the server's slots (rights to run one request on
//! it) and records the grants in a ledger. An instance that consents to a claim ends its own ownership, and
//! reports what the claimant can't know: the leases that it holds, its ledger, and whom to wait for.

use damaskvane_core::{ids, time};

use crate::exchange::blocked_by::BlockedBy;
use crate::exchange::server::{InstanceIncarnation, Ownership, Server};
use crate::exchange::slot_exchange::SlotExchange;
use crate::exchange::takeover::TakeoverWait;
use crate::exchange::wait::Wait;
use crate::message::{LedgerHandover, SlotMessage};

/// Shortest wait that the ledger of an owner which still waits reports.
const MIN_WAIT: time::SpanMs = time::SpanMs::new(1);

impl SlotExchange {
    pub(super) fn handle_claim(
        &mut self,
        from: &InstanceIncarnation,
        name: &ids::BackendServerId,
        claim: u64,
        keeps_standing: bool,
    ) {
        let is_assigned = self.assigned_owner(name).as_ref() == Some(&from.instance);
        let consent = if is_assigned {
            self.give_consent(name, claim, from, keeps_standing)
        } else {
            None
        };
        let declined = SlotMessage::Decline {
            server: name.clone(),
            claim,
        };
        let is_given = consent.is_some();
        self.reply(from, consent.unwrap_or(declined));
        if is_given {
            self.tick_acquiring(name);
        }
    }

    /// Ends this instance's ownership or claim of a backend server, and returns the consent to `owner`.
    ///
    /// An owner's consent carries its ledger. If that message is lost, the next consent has no ledger, and
    /// the new owner waits until all grants have expired.
    fn give_consent(
        &mut self,
        name: &ids::BackendServerId,
        claim: u64,
        claimant: &InstanceIncarnation,
        keeps_standing: bool,
    ) -> Option<SlotMessage> {
        let now = self.now;
        let has_authority = self.has_authority();
        let expiry = self.settings.expiry_ms();
        let mut wait = self.known_stops();
        let server = self.servers.get_mut(name)?;
        if let Ownership::Claiming(claim) = &server.ownership {
            server.wait.merge(claim.wait().clone());
        }
        let (ledger, last_expiry) = take_ledger(server, now);
        // A consent may be lost, and whoever told this instance of a stop may have ended since.
        server.wait.expire(now, expiry);
        wait.merge(server.wait.clone());
        let granted_until = last_expiry.unwrap_or_default();
        server.unreported_until = server.unreported_until.max(granted_until);
        let leases = Wait::new(BlockedBy::EarlierLeases, None, server.unreported_until);
        wait.postpone(leases);
        // Another instance may have granted slots since this one's authority expired, so the ledger may be
        // incomplete.
        let ledger = ledger.filter(|ledger| {
            has_authority
                && (keeps_standing || !ledger.entries.iter().any(|entry| entry.is_standing))
        });
        if !keeps_standing {
            server.pool.end_standing(now, &self.settings);
        }
        server.queue.clear();
        server.set_owner(Some(claimant.instance.clone()));
        server.promises.record(claimant, claim);
        server.pool.discard_pending_requests();
        let leases = server.pool.held_leases(now, &self.settings);
        Some(SlotMessage::Consent {
            server: name.clone(),
            claim,
            leases,
            ledger,
            wait_ms: wait.last_stop().since(now),
            wait: Some(wait.report(now)),
            last_claim: self.last_claim,
        })
    }

    /// Returns the instances that have stopped or will stop, as far as this instance knows.
    ///
    /// The roster of a claimant may lack instances that are gone or were dropped from the list.
    pub(super) fn known_stops(&self) -> TakeoverWait {
        let mut wait = TakeoverWait::default();
        for member in &self.roster.members {
            let gone_from = member.gone.map(|gone| gone.from);
            if let Some(stopped_by) = gone_from.or(member.stopped_by) {
                let reason = BlockedBy::StoppingInstance;
                wait.add(
                    member.instance.clone(),
                    member.incarnation,
                    stopped_by,
                    reason,
                );
            }
        }
        wait
    }
}

/// Ends the ownership of a backend server, and returns the ledger to hand over, if there is one, and when its
/// last grant expires.
fn take_ledger(
    server: &mut Server,
    now: time::TimeMs,
) -> (Option<LedgerHandover>, Option<time::TimeMs>) {
    let ownership = core::mem::take(&mut server.ownership);
    match ownership {
        Ownership::None | Ownership::Claiming(_) => (None, None),
        Ownership::Waiting(ledger) => {
            let handover = LedgerHandover {
                entries: ledger.entries(now),
                wait_ms: ledger.until().since(now).max(MIN_WAIT),
                wait: Some(server.wait.report(now)),
            };
            (Some(handover), ledger.last_expiry())
        }
        Ownership::Serving(ledger) => {
            let handover = LedgerHandover {
                entries: ledger.entries(now),
                wait_ms: time::SpanMs::ZERO,
                wait: None,
            };
            (Some(handover), ledger.last_expiry())
        }
    }
}
