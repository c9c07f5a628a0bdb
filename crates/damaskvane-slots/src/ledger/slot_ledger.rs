//! The ledger and its two phases.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time, units};

use crate::ledger::grant::{Full, Grant};
use crate::message::{GrantKey, GrantNumber, LedgerEntry};

/// The phase of an owner that lends nothing yet.
#[derive(Debug)]
pub struct Waiting {
    until: time::TimeMs,
}

/// The phase of an owner that lends.
#[derive(Debug)]
pub struct Serving;

/// What the owner of one backend server has lent.
#[derive(Debug)]
pub struct SlotLedger<P> {
    slots: units::Slots,
    grants: BTreeMap<GrantKey, Grant>,
    phase: P,
}

impl SlotLedger<Waiting> {
    /// A ledger of known grants that lends nothing before `until`.
    #[must_use]
    pub fn waiting(
        slots: units::Slots,
        known: impl IntoIterator<Item = Grant>,
        until: time::TimeMs,
    ) -> Self {
        let grants = known.into_iter().map(|grant| (grant.key.clone(), grant));
        Self {
            slots,
            grants: grants.collect(),
            phase: Waiting { until },
        }
    }

    /// When it may begin to lend.
    #[must_use]
    pub const fn until(&self) -> time::TimeMs {
        self.phase.until
    }

    /// Begins to lend, or gives itself back if it is too early.
    ///
    /// # Errors
    ///
    /// The ledger itself while the wait is not over.
    pub fn start(self, now: time::TimeMs) -> Result<SlotLedger<Serving>, Self> {
        if now < self.phase.until {
            return Err(self);
        }
        Ok(SlotLedger {
            slots: self.slots,
            grants: self.grants,
            phase: Serving,
        })
    }
}

impl SlotLedger<Serving> {
    /// Lends up to `requested` slots until a time.
    ///
    /// # Errors
    ///
    /// [`Full`] if nothing is free.
    pub fn grant(
        &mut self,
        now: time::TimeMs,
        key: GrantKey,
        requested: units::Slots,
        until: time::TimeMs,
    ) -> Result<units::Slots, Full> {
        self.expire(now);
        if self.grants.contains_key(&key) {
            // A repeated ask whose answer was lost must not be lent twice under one name.
            return Err(self.full(now));
        }
        let slots = requested.min(self.free());
        if slots == units::Slots::ZERO {
            return Err(self.full(now));
        }
        self.grants.insert(key.clone(), Grant { key, slots, until });
        debug_assert!(self.granted() <= self.slots, "more lent than there is");
        Ok(slots)
    }

    fn full(&self, now: time::TimeMs) -> Full {
        let first = self.grants.values().map(|grant| grant.until).min();
        Full {
            free_at: first.unwrap_or(now),
        }
    }
}

impl<P> SlotLedger<P> {
    /// How many slots are lent, lapsed grants that were not yet taken back included.
    #[must_use]
    pub fn granted(&self) -> units::Slots {
        self.grants.values().map(|grant| grant.slots).sum()
    }

    /// How many slots are not lent.
    #[must_use]
    pub fn free(&self) -> units::Slots {
        self.slots.saturating_sub(self.granted())
    }

    /// How many slots there are.
    #[must_use]
    pub const fn slots(&self) -> units::Slots {
        self.slots
    }

    /// Whether no more is lent than there is; only a lowered limit excuses it for one lease.
    #[must_use]
    pub fn is_within_slots(&self) -> bool {
        self.granted() <= self.slots
    }

    /// A new number of slots from the configuration; grants above it lapse or come back.
    pub const fn set_slots(&mut self, slots: units::Slots) {
        self.slots = slots;
    }

    /// Takes back what has lapsed.
    pub fn expire(&mut self, now: time::TimeMs) {
        self.grants.retain(|_, grant| grant.until > now);
    }

    /// Lets a holder keep a grant for longer; whether it is in the ledger and within the limit.
    ///
    /// Where the limit was lowered, grants above it are not renewed: renewed again and again they would hold
    /// the server above its limit for as long as its load lasts.
    pub fn renew(&mut self, now: time::TimeMs, key: &GrantKey, until: time::TimeMs) -> bool {
        self.expire(now);
        let is_within = self.is_within_limit(key);
        match self.grants.get_mut(key) {
            None => false,
            Some(_) if !is_within => false,
            Some(grant) => {
                grant.until = grant.until.max(until);
                true
            }
        }
    }

    /// Whether a grant and those before it, in the order of their names, are no more than there are slots.
    fn is_within_limit(&self, key: &GrantKey) -> bool {
        let up_to_it = self.grants.range(..=key.clone());
        let granted: units::Slots = up_to_it.map(|(_, grant)| grant.slots).sum();
        granted <= self.slots
    }

    /// Takes back part of a grant, or all of it.
    ///
    /// The rest is named, not the part, so that a repeated or crossing message takes nothing twice.
    pub fn return_slots(&mut self, key: &GrantKey, remaining: units::Slots) {
        if remaining == units::Slots::ZERO {
            self.grants.remove(key);
        } else if let Some(grant) = self.grants.get_mut(key) {
            grant.slots = grant.slots.min(remaining);
        }
    }

    /// How much each has borrowed.
    #[must_use]
    pub fn held(&self) -> BTreeMap<ids::InstanceId, units::Slots> {
        let mut held = BTreeMap::<ids::InstanceId, units::Slots>::new();
        for grant in self.grants.values() {
            let slots = held.entry(grant.key.holder.clone()).or_default();
            *slots = *slots + grant.slots;
        }
        held
    }

    /// The grants as they are handed to the next owner.
    #[must_use]
    pub fn entries(&self, now: time::TimeMs) -> Vec<LedgerEntry> {
        self.grants
            .values()
            .filter(|grant| grant.until > now)
            .map(|grant| LedgerEntry {
                key: grant.key.clone(),
                slots: grant.slots,
                remaining_ms: grant.until.since(now),
            })
            .collect()
    }

    /// Whether a grant is in the ledger.
    #[must_use]
    pub fn contains(&self, holder: &ids::InstanceId, number: GrantNumber) -> bool {
        self.grants
            .keys()
            .any(|key| key.holder == *holder && key.number == number)
    }
}
