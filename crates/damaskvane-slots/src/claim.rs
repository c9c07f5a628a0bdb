//! A claim: the request of an instance to become the owner of a backend server.
//!
//! The owner is the instance that grants the server's slots (rights to run one request on it) to the zone's
//! instances, and records the grants in its ledger. The claimant requests consent from all instances of the
//! zone that are not gone, that is, not proven to have stopped or to have lost the right to own servers. The
//! claim is complete when the current owner hands over its ledger, or when all these instances have
//! consented. In the second case the last owner is gone and no instance knows all of its grants, so the new
//! owner waits until every such grant has expired. An instance that consents ends its own ownership of that
//! backend server and accepts grants from the claimant only. Two claimants therefore can't both become the
//! owner, even if their lists of the zone's instances differ.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_slots::claim;
//!
//! let claim = claim::Claim::new(7, time::TimeMs::new(1));
//! assert_eq!(claim.number(), 7);
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time, units};

use crate::exchange::TakeoverWait;
use crate::ledger::Grant;
use crate::message::{GrantKey, HeldLease, LedgerEntry};

/// A claim that is not complete yet.
#[derive(Debug)]
pub struct Claim {
    number: u64,
    requested_at: time::TimeMs,
    consents: BTreeMap<ids::InstanceId, ids::Incarnation>,
    reports: BTreeMap<GrantKey, Grant>,
    /// Until when at least the earlier owner counts each lease that its holder reported.
    certain_until: BTreeMap<GrantKey, time::TimeMs>,
    started_at: time::TimeMs,
    wait: TakeoverWait,
}

impl Claim {
    /// Creates a claim without consents; the first requests for consent are sent at `now`.
    #[must_use]
    pub fn new(number: u64, now: time::TimeMs) -> Self {
        Self {
            number,
            requested_at: now,
            consents: BTreeMap::new(),
            reports: BTreeMap::new(),
            certain_until: BTreeMap::new(),
            started_at: now,
            wait: TakeoverWait::default(),
        }
    }

    /// Returns the claim's number, which distinguishes it from earlier claims of this instance.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether `every` has passed since consent was last requested, so that it has to be requested
    /// again; if so, records `now` as the time of the last request.
    pub fn is_retry_due(&mut self, now: time::TimeMs, every: time::SpanMs) -> bool {
        let is_due = now.since(self.requested_at) >= every;
        if is_due {
            self.requested_at = now;
        }
        is_due
    }

    /// Returns whether any incarnation (start of the process) of `instance` has consented.
    #[must_use]
    pub fn has_consent(&self, instance: &ids::InstanceId) -> bool {
        self.consents.contains_key(instance)
    }

    /// Adds what the new owner has to wait for, as another instance reported it.
    pub(crate) fn delay(&mut self, wait: TakeoverWait) {
        self.wait.merge(wait);
    }

    /// Returns what the new owner has to wait for, as far as it was reported.
    pub(crate) const fn wait(&self) -> &TakeoverWait {
        &self.wait
    }

    /// Records the consent of an instance and the leases that it holds.
    ///
    /// The leases expire on the clock of their holder; the new owner counts each for `margin` longer.
    pub fn record_consent(
        &mut self,
        now: time::TimeMs,
        from: ids::InstanceId,
        incarnation: ids::Incarnation,
        leases: impl IntoIterator<Item = HeldLease>,
        margin: time::SpanMs,
    ) {
        for lease in leases {
            let key = GrantKey {
                holder: from.clone(),
                incarnation,
                number: lease.number,
            };
            let until = now + lease.remaining_ms + margin;
            // The holder measured the lease after this claim began, however long its message took.
            let certain_until = self.started_at + lease.remaining_ms + margin;
            self.certain_until.insert(key.clone(), certain_until);
            let grant = Grant {
                key: key.clone(),
                slots: lease.slots,
                until,
                is_standing: lease.is_standing,
            };
            self.reports.insert(key, grant);
        }
        self.consents.insert(from, incarnation);
    }

    /// Records the grants in the ledger of an owner that still waits itself.
    ///
    /// The holders of standing leases have to consent, too, and report them.
    pub fn record_ledger(
        &mut self,
        now: time::TimeMs,
        entries: impl IntoIterator<Item = LedgerEntry>,
    ) {
        for entry in entries {
            let until = now + entry.remaining_ms;
            let grant = self.reports.entry(entry.key.clone()).or_insert(Grant {
                key: entry.key,
                slots: entry.slots,
                until,
                is_standing: false,
            });
            grant.until = grant.until.max(until);
        }
    }

    /// Reduces a reported lease to `remaining` slots after its holder returned slots.
    pub fn return_slots(&mut self, key: &GrantKey, remaining: units::Slots) {
        if remaining == units::Slots::ZERO {
            self.reports.remove(key);
        } else if let Some(grant) = self.reports.get_mut(key) {
            grant.slots = grant.slots.min(remaining);
        }
    }

    /// Returns the instances that have consented, each with its incarnation.
    #[must_use]
    pub fn consents(&self) -> BTreeMap<ids::InstanceId, ids::Incarnation> {
        self.consents.clone()
    }

    /// Returns until when at least the earlier owner counts each reported lease as granted.
    pub(crate) fn take_certain_until(&mut self) -> BTreeMap<GrantKey, time::TimeMs> {
        core::mem::take(&mut self.certain_until)
    }

    /// Returns the leases that were reported with the consents.
    #[must_use]
    pub fn into_reports(self) -> BTreeMap<GrantKey, Grant> {
        self.reports
    }
}
