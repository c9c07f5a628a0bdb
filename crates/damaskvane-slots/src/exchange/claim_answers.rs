//! Answers to claims of this instance: consents with leases and ledgers, releases of other claims, and declines.
//!
//! The owner of a backend server grants its slots (rights to run one request on it) and records the grants in a
//! ledger. A claim is the request to become the owner.

use damaskvane_core::{ids, time};

use crate::exchange::blocked_by::BlockedBy;
use crate::exchange::server::{InstanceIncarnation, Ownership};
use crate::exchange::slot_exchange::SlotExchange;
use crate::exchange::takeover::TakeoverWait;
use crate::exchange::wait::Wait;
use crate::ledger::Grant;
use crate::message::{HeldLease, LedgerHandover, SlotMessage, WaitReport};

impl SlotExchange {
    pub(super) fn handle_claim_message(
        &mut self,
        from: &InstanceIncarnation,
        message: SlotMessage,
    ) {
        match message {
            SlotMessage::Claim {
                server,
                claim,
                keeps_standing,
            } => self.handle_claim(from, &server, claim, keeps_standing),
            SlotMessage::Consent {
                server,
                claim,
                leases,
                ledger,
                wait_ms,
                wait,
                last_claim,
            } => {
                self.record_release(from, &server, last_claim);
                self.delay_claim(from, &server, claim, wait_ms, wait);
                self.apply_consent(from, &server, claim, leases, ledger);
            }
            SlotMessage::Release { server, last_claim } => {
                self.record_release(from, &server, last_claim);
            }
            SlotMessage::Decline { .. } => self.counters.declined += 1,
            _ => {}
        }
    }

    fn delay_claim(
        &mut self,
        from: &InstanceIncarnation,
        name: &ids::BackendServerId,
        number: u64,
        wait_ms: time::SpanMs,
        report: Option<WaitReport>,
    ) {
        let wait = self.reported_wait(&from.instance, wait_ms, report);
        let ownership = self
            .servers
            .get_mut(name)
            .map(|server| &mut server.ownership);
        if let Some(Ownership::Claiming(claim)) = ownership
            && claim.number() == number
        {
            claim.delay(wait);
        }
    }

    /// Returns the wait that another instance reported; leases are granted until the end of `wait_ms` if its
    /// parts are not reported.
    fn reported_wait(
        &self,
        reporter: &ids::InstanceId,
        wait_ms: time::SpanMs,
        report: Option<WaitReport>,
    ) -> TakeoverWait {
        if let Some(report) = report {
            return TakeoverWait::from_report(self.now, reporter, report);
        }
        let until = self.now + wait_ms + self.settings.expiry_ms();
        let reporter = Some(reporter.clone());
        TakeoverWait::new(Wait::new(BlockedBy::ReportedStop, reporter, until))
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
        let is_bound = self.is_bound(name);
        let waiting = ledger
            .as_ref()
            .map(|ledger| self.reported_wait(&from.instance, ledger.wait_ms, ledger.wait.clone()));
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
            Some(ledger) if ledger.wait_ms == time::SpanMs::ZERO && !is_bound => {
                self.apply_handover(name, ledger);
            }
            // A claim to which this instance has consented may be completed without its ledger; or the
            // sender became an owner by consents that say nothing of instances that started since. One of
            // these may be an owner too, with the ledger of an instance that does not know of its fence.
            Some(ledger) => {
                claim.record_ledger(now, ledger.entries);
                claim.delay(waiting.unwrap_or_default());
                self.complete_if_consented(name);
            }
            None => self.complete_if_consented(name),
        }
    }

    /// Completes a claim with the ledger of an owner that grants slots; the ledger has all grants, so no further
    /// consent is needed.
    fn apply_handover(&mut self, name: &ids::BackendServerId, ledger: LedgerHandover) {
        let now = self.now;
        let grants = ledger.entries.into_iter().map(|entry| Grant {
            key: entry.key,
            slots: entry.slots,
            until: now + entry.remaining_ms,
            is_standing: entry.is_standing,
        });
        self.counters.handed_over += 1;
        if let Some(server) = self.servers.get_mut(name) {
            server.consented = None;
        }
        // A fenced instance that does not know of its fence may claim the server without asking this one, of
        // which it never received a heartbeat.
        let mut wait = self.known_stops();
        wait.apply_proofs(now, &self.roster);
        wait.expire(now, time::SpanMs::ZERO);
        self.complete(name, grants.collect(), wait);
    }
}
