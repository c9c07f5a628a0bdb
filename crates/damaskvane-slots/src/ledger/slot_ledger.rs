//! The ledger of one backend server, and its phases: waiting, then serving.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time, units};

use crate::ledger::grant::{Full, Grant};
use crate::message::{GrantKey, GrantNumber, LedgerEntry};

/// The phase in which the owner waits for grants of earlier owners to expire and grants nothing.
#[derive(Debug)]
pub struct Waiting {
    until: time::TimeMs,
}

/// The phase in which the owner grants slots.
#[derive(Debug)]
pub struct Serving;

/// The grants that the owner of one backend server has made.
#[derive(Debug)]
pub struct SlotLedger<P> {
    slots: units::Slots,
    grants: BTreeMap<GrantKey, Grant>,
    phase: P,
}

impl SlotLedger<Waiting> {
    /// Creates a ledger that holds the `known` grants and grants nothing before `until`.
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

    /// Returns when the ledger may start to grant slots.
    #[must_use]
    pub const fn until(&self) -> time::TimeMs {
        self.phase.until
    }

    /// Starts to grant slots.
    ///
    /// # Errors
    ///
    /// Returns the unchanged ledger while the wait is not over.
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
    /// Grants up to `requested` slots until `until` and returns how many were granted.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if no slot is free, or if the ledger has a grant with this key already.
    pub fn grant(
        &mut self,
        now: time::TimeMs,
        key: GrantKey,
        requested: units::Slots,
        until: time::TimeMs,
    ) -> Result<units::Slots, Full> {
        self.expire(now);
        if self.grants.contains_key(&key) {
            // A repeated acquire request, whose response was lost, must not get a second grant under one key.
            return Err(self.full(now));
        }
        let slots = requested.min(self.free());
        if slots == units::Slots::ZERO {
            return Err(self.full(now));
        }
        self.grants.insert(key.clone(), Grant { key, slots, until });
        debug_assert!(
            self.granted() <= self.slots,
            "more slots granted than the backend server has"
        );
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
    /// Returns the number of granted slots, including expired grants that are not removed yet.
    #[must_use]
    pub fn granted(&self) -> units::Slots {
        self.grants.values().map(|grant| grant.slots).sum()
    }

    /// Returns the number of slots that are not granted.
    #[must_use]
    pub fn free(&self) -> units::Slots {
        self.slots.saturating_sub(self.granted())
    }

    /// Returns the number of slots of the backend server.
    #[must_use]
    pub const fn slots(&self) -> units::Slots {
        self.slots
    }

    /// Returns whether the granted slots fit into the backend server's slots.
    ///
    /// After the configuration lowered the limit, they may exceed it for up to one lease.
    #[must_use]
    pub fn is_within_slots(&self) -> bool {
        self.granted() <= self.slots
    }

    /// Sets the number of slots from a new configuration; grants above it expire or are returned.
    pub const fn set_slots(&mut self, slots: units::Slots) {
        self.slots = slots;
    }

    /// Removes expired grants, which frees their slots.
    pub fn expire(&mut self, now: time::TimeMs) {
        self.grants.retain(|_, grant| grant.until > now);
    }

    /// Extends a grant to `until`; returns whether the grant is in the ledger and within the limit.
    ///
    /// After the limit was lowered, grants above it are not renewed: repeated renewals would keep the server
    /// above its limit for as long as its load lasts.
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

    /// Returns whether the grant and all grants before it in key order fit into the slots.
    fn is_within_limit(&self, key: &GrantKey) -> bool {
        let up_to_it = self.grants.range(..=key.clone());
        let granted: units::Slots = up_to_it.map(|(_, grant)| grant.slots).sum();
        granted <= self.slots
    }

    /// Reduces a grant to `remaining` slots, or removes it if none remain.
    ///
    /// The message states the remaining slots and not the returned ones, so that a repeated or delayed
    /// message frees no slot twice.
    pub fn return_slots(&mut self, key: &GrantKey, remaining: units::Slots) {
        if remaining == units::Slots::ZERO {
            self.grants.remove(key);
        } else if let Some(grant) = self.grants.get_mut(key) {
            grant.slots = grant.slots.min(remaining);
        }
    }

    /// Returns the granted slots by holder.
    #[must_use]
    pub fn held(&self) -> BTreeMap<ids::InstanceId, units::Slots> {
        let mut held = BTreeMap::<ids::InstanceId, units::Slots>::new();
        for grant in self.grants.values() {
            let slots = held.entry(grant.key.holder.clone()).or_default();
            *slots = *slots + grant.slots;
        }
        held
    }

    /// Returns the grants that have not expired, as they are sent to the next owner.
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

    /// Returns whether the ledger has a grant of `holder` with this number, of any of its incarnations.
    #[must_use]
    pub fn contains(&self, holder: &ids::InstanceId, number: GrantNumber) -> bool {
        self.grants
            .keys()
            .any(|key| key.holder == *holder && key.number == number)
    }
}
