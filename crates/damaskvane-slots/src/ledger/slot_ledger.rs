//! The ledger of one backend server: the grants that the server's owner has made.
//!
//! The owner is the instance that grants the server's slots; a slot is the right to run one request on the
//! server. A ledger is first [`Waiting`], while the owner grants at most in place of known grants, and then
//! [`Serving`].

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time, units};

use crate::ledger::grant::{Full, Grant};
use crate::message::{GrantKey, GrantNumber, LedgerEntry};

/// Phase of a ledger, which decides how many slots its owner may grant.
pub trait Phase {
    /// Returns how many of a server's `slots` may be granted at once.
    fn limit(&self, slots: units::Slots) -> units::Slots;
}

/// Phase of a ledger whose owner waits for grants of earlier owners to expire.
#[derive(Debug)]
pub struct Waiting {
    until: time::TimeMs,
    /// Slots of the known grants at the time at which the last earlier owner had stopped; `None` before.
    accounted: Option<units::Slots>,
    /// Until when at least the earlier owner counts a known grant.
    certain_until: BTreeMap<GrantKey, time::TimeMs>,
}

impl Phase for Waiting {
    fn limit(&self, slots: units::Slots) -> units::Slots {
        self.accounted.unwrap_or_default().min(slots)
    }
}

/// Phase of a ledger whose owner grants slots.
#[derive(Debug)]
pub struct Serving;

impl Phase for Serving {
    fn limit(&self, slots: units::Slots) -> units::Slots {
        slots
    }
}

/// The grants that the owner of one backend server has made, in the ledger's phase `P`.
#[derive(Debug)]
pub struct SlotLedger<P> {
    slots: units::Slots,
    grants: BTreeMap<GrantKey, Grant>,
    phase: P,
}

impl SlotLedger<Waiting> {
    /// Creates a ledger with the `known` grants of earlier owners; until `until` other grants may be in use.
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
            phase: Waiting {
                until,
                accounted: None,
                certain_until: BTreeMap::new(),
            },
        }
    }

    /// Returns the time from which the owner may grant all slots.
    #[must_use]
    pub const fn until(&self) -> time::TimeMs {
        self.phase.until
    }

    /// Ends the wait at `until` if that is earlier than its end so far.
    pub fn shorten(&mut self, until: time::TimeMs) {
        self.phase.until = self.phase.until.min(until);
    }

    /// Sets until when at least the earlier owner counts each of the known grants as granted.
    ///
    /// A report may have been on its way for so long that the earlier owner has granted the slots anew.
    pub fn account(&mut self, certain_until: BTreeMap<GrantKey, time::TimeMs>) {
        self.phase.certain_until = certain_until;
    }

    /// Returns whether the owner may grant slots before the end of the wait.
    #[must_use]
    pub fn grants_slots(&self) -> bool {
        self.phase.limit(self.slots) > units::Slots::ZERO
    }

    /// Allows grants in place of the known ones, once the earlier owners have stopped: by then all grants
    /// together were within the server's slots, and those that are not known stay as they are or expire.
    ///
    /// Grants that are made or used until the end of the wait expire within `expiry`, so that the earlier
    /// owners have stopped that much before it. Before that they may grant the slots of a known grant anew,
    /// which they take for expired.
    pub fn open(&mut self, now: time::TimeMs, expiry: time::SpanMs) {
        if self.phase.accounted.is_none() && self.phase.until <= now + expiry {
            self.expire(now);
            let certain = self.grants.values().filter(|grant| {
                let until = self.phase.certain_until.get(&grant.key);
                until.is_some_and(|until| *until > now)
            });
            self.phase.accounted = Some(certain.map(|grant| grant.slots).sum());
        }
    }

    /// Moves the ledger to the phase in which the owner grants slots.
    ///
    /// # Errors
    ///
    /// Returns the unchanged ledger if `now` is before the end of the wait.
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

impl<P: Phase> SlotLedger<P> {
    /// Records a grant of up to `requested` slots that expires at `until`; returns the number of slots.
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
            // An acquire request that its holder repeats after a lost response must not get a second grant
            // under the same key.
            return Err(self.full(now));
        }
        let limit = self.phase.limit(self.slots);
        let slots = requested.min(limit.saturating_sub(self.granted()));
        if slots == units::Slots::ZERO {
            return Err(self.full(now));
        }
        let is_standing = false;
        self.grants.insert(
            key.clone(),
            Grant {
                key,
                slots,
                until,
                is_standing,
            },
        );
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

    /// Returns the number of the backend server's slots that are not granted.
    #[must_use]
    pub fn free(&self) -> units::Slots {
        self.slots.saturating_sub(self.granted())
    }

    /// Returns how many slots the backend server has in total.
    #[must_use]
    pub const fn slots(&self) -> units::Slots {
        self.slots
    }

    /// Returns whether the granted slots fit into the backend server's slots.
    ///
    /// After a new configuration lowered the number of the server's slots, the granted slots may exceed that
    /// number for up to the length of one lease.
    #[must_use]
    pub fn is_within_slots(&self) -> bool {
        self.granted() <= self.slots
    }

    /// Sets how many slots the server has by a new configuration; grants beyond them expire or are returned.
    pub const fn set_slots(&mut self, slots: units::Slots) {
        self.slots = slots;
    }

    /// Removes expired grants, which frees their slots.
    pub fn expire(&mut self, now: time::TimeMs) {
        self.grants.retain(|_, grant| grant.is_in_use(now));
    }

    /// Extends a grant to `until`, and returns whether it was extended.
    ///
    /// A grant that is not in the ledger is not extended. After the number of the server's slots was lowered,
    /// grants beyond that limit aren't either: repeated renewals would keep the server above its limit for as
    /// long as its load lasts.
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

    /// Makes the lease of a grant a standing one, which ends with its holder and not at a time.
    pub fn make_standing(&mut self, key: &GrantKey) {
        if let Some(grant) = self.grants.get_mut(key) {
            grant.is_standing = true;
        }
    }

    /// Ends the standing leases of holders that have stopped or will end them; `end_of` returns when such a
    /// lease expires.
    pub fn end_standing(&mut self, end_of: impl Fn(&GrantKey) -> Option<time::TimeMs>) {
        for grant in self.grants.values_mut().filter(|grant| grant.is_standing) {
            if let Some(until) = end_of(&grant.key) {
                grant.end_standing(until);
            }
        }
    }

    /// Applies a holder's list of its grants: standing leases that it does not list and can't receive any more
    /// expire at `until`.
    pub fn reconcile(
        &mut self,
        holder: &ids::InstanceId,
        incarnation: ids::Incarnation,
        last_number: GrantNumber,
        held: &BTreeMap<GrantNumber, units::Slots>,
        until: time::TimeMs,
    ) {
        let of_holder = self.grants.values_mut().filter(|grant| {
            grant.key.holder == *holder && grant.key.incarnation == incarnation && grant.is_standing
        });
        for grant in of_holder {
            match held.get(&grant.key.number) {
                Some(slots) => grant.slots = grant.slots.min(*slots),
                None if grant.key.number <= last_number => grant.end_standing(until),
                None => {}
            }
        }
    }

    /// Returns the holders of standing leases.
    #[must_use]
    pub fn standing_holders(&self) -> BTreeSet<ids::InstanceId> {
        let standing = self.grants.values().filter(|grant| grant.is_standing);
        standing.map(|grant| grant.key.holder.clone()).collect()
    }

    /// Returns whether the grant and all grants before it in key order fit into the server's slots.
    fn is_within_limit(&self, key: &GrantKey) -> bool {
        let up_to_it = self.grants.range(..=key.clone());
        let granted: units::Slots = up_to_it.map(|(_, grant)| grant.slots).sum();
        granted <= self.slots
    }

    /// Reduces a grant to `remaining` slots, or removes it if none remain.
    ///
    /// A holder's message states how many slots remain and not how many it returns, so that a repeated or
    /// delayed message frees no slot twice.
    pub fn return_slots(&mut self, key: &GrantKey, remaining: units::Slots) {
        if remaining == units::Slots::ZERO {
            self.grants.remove(key);
        } else if let Some(grant) = self.grants.get_mut(key) {
            grant.slots = grant.slots.min(remaining);
        }
    }

    /// Returns the number of granted slots of each holder.
    #[must_use]
    pub fn held(&self) -> BTreeMap<ids::InstanceId, units::Slots> {
        let mut held = BTreeMap::<ids::InstanceId, units::Slots>::new();
        for grant in self.grants.values() {
            let slots = held.entry(grant.key.holder.clone()).or_default();
            *slots = *slots + grant.slots;
        }
        held
    }

    /// Returns when the last grant expires; `None` if there is none.
    ///
    /// Standing leases count until the end of their last renewal: their holders report them to the next owner, or
    /// have stopped.
    #[must_use]
    pub fn last_expiry(&self) -> Option<time::TimeMs> {
        self.grants.values().map(|grant| grant.until).max()
    }

    /// Returns the grants that have not expired, as they are sent to the next owner.
    #[must_use]
    pub fn entries(&self, now: time::TimeMs) -> Vec<LedgerEntry> {
        self.grants
            .values()
            .filter(|grant| grant.is_in_use(now))
            .map(|grant| LedgerEntry {
                key: grant.key.clone(),
                slots: grant.slots,
                remaining_ms: grant.until.since(now),
                is_standing: grant.is_standing,
            })
            .collect()
    }

    /// Returns whether the ledger has a grant of `holder` with this number, whichever incarnation (start of
    /// its process) acquired it.
    #[must_use]
    pub fn contains(&self, holder: &ids::InstanceId, number: GrantNumber) -> bool {
        self.grants
            .keys()
            .any(|key| key.holder == *holder && key.number == number)
    }
}
