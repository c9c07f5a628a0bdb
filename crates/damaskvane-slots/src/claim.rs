//! How a backend server gets a new owner.
//!
//! The one that is to be owner asks all instances of the zone that are not proven gone. It may begin when
//! the present owner hands over its ledger, or when all have consented. In the second case the last owner
//! is gone and nobody knows all that it lent, so the new owner waits until everything must have lapsed.
//! Consent is a promise: who gives it owns nothing of that backend server any more, and takes grants from
//! nobody else. So two can't both begin, however much their views differ.
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

use crate::ledger::Grant;
use crate::message::{GrantKey, HeldLease};

/// A claim that is not complete.
#[derive(Debug)]
pub struct Claim {
    number: u64,
    requested_at: time::TimeMs,
    consents: BTreeMap<ids::InstanceId, ids::Incarnation>,
    reports: BTreeMap<GrantKey, Grant>,
    not_before: time::TimeMs,
}

impl Claim {
    /// A claim that nobody has answered.
    #[must_use]
    pub const fn new(number: u64, now: time::TimeMs) -> Self {
        Self {
            number,
            requested_at: now,
            consents: BTreeMap::new(),
            reports: BTreeMap::new(),
            not_before: time::TimeMs::ZERO,
        }
    }

    /// Tells it from earlier ones.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Whether it is time to ask again; notes that it was done.
    pub fn is_retry_due(&mut self, now: time::TimeMs, every: time::SpanMs) -> bool {
        let is_due = now.since(self.requested_at) >= every;
        if is_due {
            self.requested_at = now;
        }
        is_due
    }

    /// Whether an instance has consented.
    #[must_use]
    pub fn has_consent(&self, instance: &ids::InstanceId) -> bool {
        self.consents.contains_key(instance)
    }

    /// Notes until when one that others fenced may still act.
    pub fn delay(&mut self, not_before: time::TimeMs) {
        self.not_before = self.not_before.max(not_before);
    }

    /// Until when one that others fenced may still act.
    #[must_use]
    pub const fn not_before(&self) -> time::TimeMs {
        self.not_before
    }

    /// Notes a consent and what its giver has borrowed.
    ///
    /// The giver's leases end by its own clock; the owner counts them for a margin longer.
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
            let slots = lease.slots;
            self.reports
                .insert(key.clone(), Grant { key, slots, until });
        }
        self.consents.insert(from, incarnation);
    }

    /// Notes that a holder gave slots back that it had reported.
    pub fn return_slots(&mut self, key: &GrantKey, remaining: units::Slots) {
        if remaining == units::Slots::ZERO {
            self.reports.remove(key);
        } else if let Some(grant) = self.reports.get_mut(key) {
            grant.slots = grant.slots.min(remaining);
        }
    }

    /// Who has consented, and which start of it.
    #[must_use]
    pub fn consents(&self) -> BTreeMap<ids::InstanceId, ids::Incarnation> {
        self.consents.clone()
    }

    /// What was reported.
    #[must_use]
    pub fn into_reports(self) -> BTreeMap<GrantKey, Grant> {
        self.reports
    }
}
