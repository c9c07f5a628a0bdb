//! The grants of one backend server that an instance holds, and its pending acquire requests.
//!
//! A slot is the right to run one request on the backend server. The server's owner, another instance or this
//! one, grants slots for a limited time, the lease. A held slot is free while no request runs on it.

use std::collections::BTreeMap;

use damaskvane_core::{time, units};

use crate::holder::held_grant::HeldGrant;
use crate::holder::lease_op::LeaseOp;
use crate::message::{GrantNumber, HeldLease, LiveGrant};
use crate::settings::SlotSettings;

const ONE: units::Slots = units::Slots::new(1);

/// An acquire request without a response yet.
#[derive(Debug)]
struct PendingAcquire {
    requested_at: time::TimeMs,
    slots: units::Slots,
}

/// A temporary limit on the held slots, set when the owner recalls slots.
#[derive(Debug, Clone, Copy)]
struct Cap {
    keep: units::Slots,
    until: time::TimeMs,
}

/// The grants of one backend server that an instance holds.
#[derive(Debug, Default)]
pub struct LeasePool {
    grants: Vec<HeldGrant>,
    pending_acquires: BTreeMap<GrantNumber, PendingAcquire>,
    last_number: GrantNumber,
    cap: Option<Cap>,
    acquire_after: time::TimeMs,
    /// Whether the next call of `collect_returns` returns all free slots.
    returns_idle: bool,
    /// Requests of this instance that wait for slots, and when that was reported.
    waiting: units::Slots,
    waiting_at: time::TimeMs,
    /// Until when this instance may send requests under standing leases.
    standing_until: time::TimeMs,
}

impl LeasePool {
    /// Returns the number of held slots, under leases that have not expired, on which no request runs or may
    /// still run.
    #[must_use]
    pub fn free(&self, now: time::TimeMs) -> units::Slots {
        let usable = self
            .grants
            .iter()
            .filter(|grant| self.is_usable(grant, now));
        usable.map(|grant| grant.free(now)).sum()
    }

    fn is_usable(&self, grant: &HeldGrant, now: time::TimeMs) -> bool {
        !grant.is_standing() || now < self.standing_until
    }

    /// Sets until when this instance may send requests under standing leases: as long as it has authority.
    ///
    /// The end of an authority that is over stays, since requests that were sent before may still run.
    pub fn set_authority(&mut self, now: time::TimeMs, until: Option<time::TimeMs>) {
        let used_until = self.standing_until.min(now);
        self.standing_until = until.unwrap_or_default().max(used_until);
    }

    /// Ends all standing leases: they expire like one that was renewed when this instance last had authority.
    pub fn end_standing(&mut self, now: time::TimeMs, settings: &SlotSettings) {
        let usable_until = self.standing_until.min(now) + settings.usable_ms();
        for grant in &mut self.grants {
            grant.end_standing(usable_until);
        }
    }

    /// Returns the grants that this instance holds or may still receive.
    #[must_use]
    pub fn live_grants(&self) -> Vec<LiveGrant> {
        let held = self.grants.iter().map(|grant| LiveGrant {
            number: grant.number(),
            slots: grant.slots(),
        });
        let pending = self.pending_acquires.iter();
        let pending = pending.map(|(number, pending)| LiveGrant {
            number: *number,
            slots: pending.slots,
        });
        held.chain(pending).collect()
    }

    /// Returns the number of slots on which requests run or may still run.
    #[must_use]
    pub fn busy(&self, now: time::TimeMs) -> units::Slots {
        self.grants.iter().map(|grant| grant.busy(now)).sum()
    }

    /// Returns the number of slots of all grants that have not expired.
    #[must_use]
    pub fn held(&self, now: time::TimeMs) -> units::Slots {
        let current = self.grants.iter().filter(|grant| !grant.is_expired(now));
        current.map(HeldGrant::slots).sum()
    }

    /// Returns how many slots to acquire while `waiting` requests wait.
    ///
    /// This is `waiting` less the free slots and the slots of acquire requests sent less than `timeout` ago,
    /// or zero for a while after the owner refused an acquire request.
    #[must_use]
    pub fn slots_to_acquire(
        &self,
        now: time::TimeMs,
        waiting: units::Slots,
        timeout: time::SpanMs,
    ) -> units::Slots {
        if now < self.acquire_after {
            return units::Slots::ZERO;
        }
        let pending_slots = self
            .pending_acquires
            .values()
            .filter(|pending| now.since(pending.requested_at) < timeout)
            .map(|pending| pending.slots)
            .sum();
        waiting
            .saturating_sub(self.free(now))
            .saturating_sub(pending_slots)
    }

    /// Records how many requests of this instance wait for slots.
    pub const fn record_waiting(&mut self, now: time::TimeMs, waiting: units::Slots) {
        (self.waiting, self.waiting_at) = (waiting, now);
    }

    /// Returns how many free slots are about to be used by requests that wait.
    ///
    /// A slot that is returned in between would be lost for them if the owner is lost.
    fn wanted(&self, now: time::TimeMs, settings: &SlotSettings) -> units::Slots {
        if now.since(self.waiting_at) < settings.shortage_ms {
            self.waiting
        } else {
            units::Slots::ZERO
        }
    }

    /// Returns the number of the latest acquire request.
    #[must_use]
    pub const fn last_number(&self) -> GrantNumber {
        self.last_number
    }

    /// Returns an empty pool whose acquire requests are numbered from the one after `last_number`.
    #[must_use]
    pub fn after(last_number: GrantNumber) -> Self {
        Self {
            last_number,
            ..Self::default()
        }
    }

    /// Records an acquire request that is sent at `now` and returns its number.
    pub fn record_acquire(&mut self, now: time::TimeMs, slots: units::Slots) -> GrantNumber {
        self.last_number = self.last_number.next();
        let requested_at = now;
        self.pending_acquires.insert(
            self.last_number,
            PendingAcquire {
                requested_at,
                slots,
            },
        );
        self.last_number
    }

    /// Adds a grant from the owner if an acquire request for it is pending and its lease has not expired;
    /// returns whether the grant was added.
    pub fn apply_grant(
        &mut self,
        now: time::TimeMs,
        number: GrantNumber,
        slots: units::Slots,
        lease: time::SpanMs,
        settings: &SlotSettings,
    ) -> bool {
        let Some(pending) = self.pending_acquires.remove(&number) else {
            return false;
        };
        let usable_until = pending.requested_at + lease.saturating_sub(settings.margin_ms);
        if usable_until <= now {
            return false;
        }
        let grant = HeldGrant::new(number, slots, usable_until, now);
        self.grants.push(grant);
        true
    }

    /// Returns whether the pool has a grant with this number.
    #[must_use]
    pub fn holds(&self, number: GrantNumber) -> bool {
        self.grants.iter().any(|grant| grant.number() == number)
    }

    /// Removes an acquire request that the owner refused; the next is sent no earlier than `acquire_after`.
    pub fn apply_refusal(&mut self, number: GrantNumber, acquire_after: time::TimeMs) {
        self.pending_acquires.remove(&number);
        self.acquire_after = acquire_after;
    }

    /// Extends the lease of a grant after the owner renewed it, and returns whether a request for it was pending.
    pub fn apply_renewal(
        &mut self,
        number: GrantNumber,
        attempt: u32,
        lease: time::SpanMs,
        is_standing: bool,
        settings: &SlotSettings,
    ) -> bool {
        let usable = lease.saturating_sub(settings.margin_ms);
        self.grant(number)
            .is_some_and(|grant| grant.apply_renewal(attempt, usable, is_standing))
    }

    /// Marks free slots for return and limits the held slots to `keep` for `recall_ms` of the settings.
    ///
    /// The owner sends a recall while other instances wait for slots.
    pub fn apply_recall(&mut self, now: time::TimeMs, keep: units::Slots, settings: &SlotSettings) {
        let until = now + settings.recall_ms;
        self.cap = Some(Cap { keep, until });
        self.returns_idle = true;
    }

    /// Reserves a free slot for a request; returns the grant's number and the end of its lease.
    ///
    /// Of the grants with a free slot, the one that expires last is used. Returns `None` if there is none, or
    /// if it expires in less than `min_run`.
    pub fn begin(
        &mut self,
        now: time::TimeMs,
        min_run: time::SpanMs,
        settings: &SlotSettings,
    ) -> Option<(GrantNumber, time::TimeMs)> {
        let standing_until = self.standing_until;
        let usable_until = |grant: &HeldGrant| {
            if grant.is_standing() {
                now + settings.usable_ms()
            } else {
                grant.usable_until()
            }
        };
        let grant = self
            .grants
            .iter_mut()
            .filter(|grant| !grant.is_standing() || now < standing_until)
            .filter(|grant| grant.free(now) > units::Slots::ZERO)
            .max_by_key(|grant| usable_until(grant))?;
        let expires_at = usable_until(grant);
        if expires_at.since(now) < min_run {
            return None;
        }
        grant.begin(now);
        self.waiting = self.waiting.saturating_sub(ONE);
        Some((grant.number(), expires_at))
    }

    /// Frees a slot of a grant for the next request.
    ///
    /// If the last request may still run on the backend server, the slot is busy until `still_runs_until`.
    pub fn finish(
        &mut self,
        now: time::TimeMs,
        number: GrantNumber,
        still_runs_until: Option<time::TimeMs>,
    ) {
        if let Some(grant) = self.grant(number) {
            grant.finish(now, still_runs_until);
        }
    }

    /// Discards pending requests, because they were sent to an instance that is no longer the owner.
    ///
    /// Renewals are then due at once: leases that wait for the response of a dead owner would expire, although
    /// the new owner renews them.
    pub fn discard_pending_requests(&mut self) {
        self.pending_acquires.clear();
        for grant in &mut self.grants {
            grant.discard_renewal();
        }
        self.acquire_after = time::TimeMs::ZERO;
    }

    /// Returns the leases that have not expired, as they are reported to a new owner.
    #[must_use]
    pub fn held_leases(&self, now: time::TimeMs, settings: &SlotSettings) -> Vec<HeldLease> {
        let current = self.grants.iter().filter(|grant| !grant.is_expired(now));
        current
            .map(|grant| HeldLease {
                number: grant.number(),
                slots: grant.slots(),
                remaining_ms: if grant.is_standing() {
                    settings.usable_ms()
                } else {
                    grant.usable_until().since(now)
                },
                is_standing: grant.is_standing(),
            })
            .collect()
    }

    /// Removes expired grants, and returns the return and renewal requests to send to the owner.
    pub fn tick(
        &mut self,
        now: time::TimeMs,
        is_leaving: bool,
        settings: &SlotSettings,
    ) -> Vec<LeaseOp> {
        self.grants.retain(|grant| !grant.is_expired(now));
        let lease = settings.lease_ms;
        self.pending_acquires
            .retain(|_, pending| now.since(pending.requested_at) < lease);
        self.cap = self.cap.filter(|cap| now < cap.until);
        let mut requests = self.collect_returns(now, is_leaving, settings);
        requests.extend(self.collect_renewals(now, settings));
        requests
    }

    /// Removes free slots to be returned, and returns the requests that return them to the owner.
    ///
    /// All free slots of a grant are removed if no request used the grant for `idle_return_ms`, or if this
    /// instance is about to stop; after a recall all that no request of this instance waits for. So the
    /// slots are available as soon as other instances need them. Otherwise only as many free slots are removed as the held slots exceed the limit of a
    /// recall.
    pub fn collect_returns(
        &mut self,
        now: time::TimeMs,
        is_leaving: bool,
        settings: &SlotSettings,
    ) -> Vec<LeaseOp> {
        let keep = self.cap.filter(|cap| now < cap.until).map(|cap| cap.keep);
        let mut excess = keep.map_or(units::Slots::ZERO, |keep| {
            self.held(now).saturating_sub(keep)
        });
        let returns_idle = core::mem::take(&mut self.returns_idle);
        let mut wanted = if is_leaving {
            units::Slots::ZERO
        } else {
            self.wanted(now, settings)
        };
        let mut requests = Vec::new();
        for grant in &mut self.grants {
            let before = grant.slots();
            if is_leaving || grant.is_idle(now, settings.idle_return_ms) {
                grant.shrink(now, before);
            } else if returns_idle {
                let free = grant.free(now);
                let kept = free.min(wanted);
                wanted = wanted.saturating_sub(kept);
                grant.shrink(now, free.saturating_sub(kept).max(excess));
            } else {
                grant.shrink(now, excess);
            }
            let remaining = grant.slots();
            if remaining < before {
                excess = excess.saturating_sub(before.saturating_sub(remaining));
                let number = grant.number();
                requests.push(LeaseOp::Return { number, remaining });
            }
        }
        self.grants
            .retain(|grant| grant.slots() > units::Slots::ZERO);
        requests
    }

    fn collect_renewals(&mut self, now: time::TimeMs, settings: &SlotSettings) -> Vec<LeaseOp> {
        let before = time::SpanMs::new(settings.lease_ms.get() * 2 / 3);
        let timeout = settings.response_timeout_ms;
        self.grants
            .iter_mut()
            .filter(|grant| grant.is_renewal_due(now, before, timeout))
            .map(|grant| LeaseOp::Renew {
                number: grant.number(),
                attempt: grant.start_renewal(now),
            })
            .collect()
    }

    fn grant(&mut self, number: GrantNumber) -> Option<&mut HeldGrant> {
        self.grants
            .iter_mut()
            .find(|grant| grant.number() == number)
    }
}
