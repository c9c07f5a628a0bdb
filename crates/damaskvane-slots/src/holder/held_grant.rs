//! A grant as its holder tracks it: the lease, the slots in use, and renewals.
//!
//! A slot is the right to run one request on a backend server. The lease is the time for which the server's
//! owner, another instance or this one, granted the slots.

use damaskvane_core::{time, units};

use crate::message::GrantNumber;

/// A renewal request without a response yet.
#[derive(Debug)]
struct Renewal {
    attempt: u32,
    requested_at: time::TimeMs,
}

/// Slots of one backend server that this instance acquired with one request, and their use.
#[derive(Debug)]
pub struct HeldGrant {
    number: GrantNumber,
    slots: units::Slots,
    running: units::Slots,
    /// For each abandoned request that may still run on the backend server, the time by which it has ended.
    abandoned: Vec<time::TimeMs>,
    usable_until: time::TimeMs,
    is_standing: bool,
    used_at: time::TimeMs,
    renewal: Option<Renewal>,
    attempts: u32,
}

const ONE: units::Slots = units::Slots::new(1);

impl HeldGrant {
    pub(super) const fn new(
        number: GrantNumber,
        slots: units::Slots,
        usable_until: time::TimeMs,
        now: time::TimeMs,
    ) -> Self {
        Self {
            number,
            slots,
            running: units::Slots::ZERO,
            abandoned: Vec::new(),
            usable_until,
            is_standing: false,
            used_at: now,
            renewal: None,
            attempts: 0,
        }
    }

    /// Returns the number of the grant.
    #[must_use]
    pub const fn number(&self) -> GrantNumber {
        self.number
    }

    /// Returns the number of slots of the grant, without those that the holder has returned.
    #[must_use]
    pub const fn slots(&self) -> units::Slots {
        self.slots
    }

    /// Returns when the lease expires for the holder, which is earlier than for the owner.
    ///
    /// A standing lease does not expire.
    #[must_use]
    pub const fn usable_until(&self) -> time::TimeMs {
        self.usable_until
    }

    /// Returns whether the lease ends with its holder and not at a time.
    #[must_use]
    pub const fn is_standing(&self) -> bool {
        self.is_standing
    }

    /// Ends a standing lease: it expires at `usable_until`.
    pub(super) const fn end_standing(&mut self, usable_until: time::TimeMs) {
        if self.is_standing {
            self.is_standing = false;
            self.usable_until = usable_until;
        }
    }

    /// Returns whether the lease has expired for the holder.
    #[must_use]
    pub fn is_expired(&self, now: time::TimeMs) -> bool {
        !self.is_standing && now >= self.usable_until
    }

    /// Returns the number of slots on which requests run or may still run.
    #[must_use]
    pub fn busy(&self, now: time::TimeMs) -> units::Slots {
        let abandoned = self.abandoned.iter().filter(|ends_at| **ends_at > now);
        self.running + units::Slots::new(u32::try_from(abandoned.count()).unwrap_or(u32::MAX))
    }

    /// Returns the number of slots on which no request runs or may still run; zero if the lease has expired.
    #[must_use]
    pub fn free(&self, now: time::TimeMs) -> units::Slots {
        if self.is_expired(now) {
            return units::Slots::ZERO;
        }
        self.slots.saturating_sub(self.busy(now))
    }

    pub(super) fn begin(&mut self, now: time::TimeMs) {
        self.running = self.running + ONE;
        self.used_at = now;
    }

    /// Frees a slot after its request; if the request was abandoned, the slot is busy until
    /// `still_runs_until`.
    pub(super) fn finish(&mut self, now: time::TimeMs, still_runs_until: Option<time::TimeMs>) {
        self.running = self.running.saturating_sub(ONE);
        self.used_at = now;
        self.abandoned.retain(|ends_at| *ends_at > now);
        self.abandoned.extend(still_runs_until);
    }

    pub(super) fn is_idle(&self, now: time::TimeMs, limit: time::SpanMs) -> bool {
        now.since(self.used_at) >= limit
    }

    /// Removes up to `slots` free slots from the grant and returns how many remain.
    pub(super) fn shrink(&mut self, now: time::TimeMs, slots: units::Slots) -> units::Slots {
        self.slots = self.slots.saturating_sub(slots.min(self.free(now)));
        self.slots
    }

    pub(super) fn is_renewal_due(
        &self,
        now: time::TimeMs,
        before: time::SpanMs,
        timeout: time::SpanMs,
    ) -> bool {
        let is_pending = self
            .renewal
            .as_ref()
            .is_some_and(|renewal| now.since(renewal.requested_at) < timeout);
        !is_pending && !self.is_standing && self.usable_until.since(now) < before
    }

    pub(super) fn start_renewal(&mut self, now: time::TimeMs) -> u32 {
        self.attempts += 1;
        self.renewal = Some(Renewal {
            attempt: self.attempts,
            requested_at: now,
        });
        self.attempts
    }

    /// Forgets the pending renewal request, which was sent to an instance that is no longer the owner.
    pub(super) fn discard_renewal(&mut self) {
        self.renewal = None;
    }

    /// Extends the lease to the time `usable` after the renewal request was sent, or without an end if the
    /// owner made it a standing one.
    ///
    /// A response to an attempt before the latest one is ignored.
    pub(super) fn apply_renewal(
        &mut self,
        attempt: u32,
        usable: time::SpanMs,
        is_standing: bool,
    ) -> bool {
        let renewal = self.renewal.take_if(|renewal| renewal.attempt == attempt);
        if let Some(renewal) = &renewal {
            self.usable_until = self.usable_until.max(renewal.requested_at + usable);
            self.is_standing = is_standing;
        }
        renewal.is_some()
    }
}
