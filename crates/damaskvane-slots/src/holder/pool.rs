//! All grants of one backend server that an instance holds.

use std::collections::BTreeMap;

use damaskvane_core::{time, units};

use crate::holder::held_grant::HeldGrant;
use crate::message::{GrantNumber, HeldLease};
use crate::settings::SlotSettings;

/// What the holder wants of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wish {
    /// To keep a grant for longer.
    Renew {
        /// The grant.
        number: GrantNumber,
        /// The try.
        attempt: u32,
    },
    /// To give slots back.
    Return {
        /// The grant.
        number: GrantNumber,
        /// How many slots it keeps.
        remaining: units::Slots,
    },
}

/// An ask that is not answered.
#[derive(Debug)]
struct Ask {
    asked_at: time::TimeMs,
    slots: units::Slots,
}

/// A request of the owner to make do with less.
#[derive(Debug, Clone, Copy)]
struct Cap {
    keep: units::Slots,
    until: time::TimeMs,
}

/// All grants of one backend server that an instance holds.
#[derive(Debug, Default)]
pub struct LeasePool {
    grants: Vec<HeldGrant>,
    asks: BTreeMap<GrantNumber, Ask>,
    last_number: GrantNumber,
    cap: Option<Cap>,
    ask_after: time::TimeMs,
    /// Whether all that is idle goes back with the next returns.
    returns_idle: bool,
}

impl LeasePool {
    /// Slots that requests may use now.
    #[must_use]
    pub fn free(&self, now: time::TimeMs) -> units::Slots {
        self.grants.iter().map(|grant| grant.free(now)).sum()
    }

    /// Slots that work runs on, or may still run on.
    #[must_use]
    pub fn busy(&self, now: time::TimeMs) -> units::Slots {
        self.grants.iter().map(|grant| grant.busy(now)).sum()
    }

    /// Slots that are borrowed.
    #[must_use]
    pub fn held(&self, now: time::TimeMs) -> units::Slots {
        let current = self.grants.iter().filter(|grant| !grant.is_over(now));
        current.map(HeldGrant::slots).sum()
    }

    /// How many slots to ask for, where so many requests wait.
    #[must_use]
    pub fn wanted(
        &self,
        now: time::TimeMs,
        waiting: units::Slots,
        answer: time::SpanMs,
    ) -> units::Slots {
        if now < self.ask_after {
            return units::Slots::ZERO;
        }
        let asked = self
            .asks
            .values()
            .filter(|ask| now.since(ask.asked_at) < answer)
            .map(|ask| ask.slots)
            .sum();
        waiting.saturating_sub(self.free(now)).saturating_sub(asked)
    }

    /// Notes an ask and returns its number.
    pub fn ask(&mut self, now: time::TimeMs, slots: units::Slots) -> GrantNumber {
        self.last_number = self.last_number.next();
        let asked_at = now;
        self.asks.insert(self.last_number, Ask { asked_at, slots });
        self.last_number
    }

    /// Takes a grant; whether it was asked for and is still of use.
    pub fn granted(
        &mut self,
        now: time::TimeMs,
        number: GrantNumber,
        slots: units::Slots,
        lease: time::SpanMs,
        settings: &SlotSettings,
    ) -> bool {
        let Some(ask) = self.asks.remove(&number) else {
            return false;
        };
        let usable_until = ask.asked_at + lease.saturating_sub(settings.margin_ms);
        if usable_until <= now {
            return false;
        }
        let grant = HeldGrant::new(number, slots, usable_until, now);
        self.grants.push(grant);
        true
    }

    /// Whether a grant is held.
    #[must_use]
    pub fn holds(&self, number: GrantNumber) -> bool {
        self.grants.iter().any(|grant| grant.number() == number)
    }

    /// The owner lends nothing before a time.
    pub fn refused(&mut self, number: GrantNumber, ask_after: time::TimeMs) {
        self.asks.remove(&number);
        self.ask_after = ask_after;
    }

    /// Takes an answer to a renewal.
    pub fn renewed(
        &mut self,
        number: GrantNumber,
        attempt: u32,
        lease: time::SpanMs,
        settings: &SlotSettings,
    ) {
        if let Some(grant) = self.grant(number) {
            grant.renewed(attempt, lease.saturating_sub(settings.margin_ms));
        }
    }

    /// Others wait: gives back what is idle now, and keeps at most so many slots for a while.
    pub fn recall(&mut self, now: time::TimeMs, keep: units::Slots, settings: &SlotSettings) {
        let until = now + settings.recall_ms;
        self.cap = Some(Cap { keep, until });
        self.returns_idle = true;
    }

    /// Takes a slot of the grant that lasts longest; nothing if none lasts `at_least`.
    pub fn begin(
        &mut self,
        now: time::TimeMs,
        at_least: time::SpanMs,
    ) -> Option<(GrantNumber, time::TimeMs)> {
        let grant = self
            .grants
            .iter_mut()
            .filter(|grant| grant.free(now) > units::Slots::ZERO)
            .max_by_key(|grant| grant.usable_until())?;
        if grant.usable_until().since(now) < at_least {
            return None;
        }
        grant.begin(now);
        Some((grant.number(), grant.usable_until()))
    }

    /// Gives a slot of a grant back to the pool.
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

    /// Forgets asks: their grants would come from one that is the owner no more.
    pub fn forget_asks(&mut self) {
        self.asks.clear();
        self.ask_after = time::TimeMs::ZERO;
    }

    /// What is held, for a new owner.
    #[must_use]
    pub fn report(&self, now: time::TimeMs) -> Vec<HeldLease> {
        let current = self.grants.iter().filter(|grant| !grant.is_over(now));
        current
            .map(|grant| HeldLease {
                number: grant.number(),
                slots: grant.slots(),
                left_ms: grant.usable_until().since(now),
            })
            .collect()
    }

    /// Drops what has lapsed, and says what the owner is to be told.
    pub fn tick(
        &mut self,
        now: time::TimeMs,
        is_leaving: bool,
        settings: &SlotSettings,
    ) -> Vec<Wish> {
        self.grants.retain(|grant| !grant.is_over(now));
        let lease = settings.lease_ms;
        self.asks.retain(|_, ask| now.since(ask.asked_at) < lease);
        self.cap = self.cap.filter(|cap| now < cap.until);
        let mut wishes = self.returns(now, is_leaving, settings);
        wishes.extend(self.renewals(now, settings));
        wishes
    }

    /// Gives back what is idle for long or above the cap; slots come free as soon as others need them.
    pub fn returns(
        &mut self,
        now: time::TimeMs,
        is_leaving: bool,
        settings: &SlotSettings,
    ) -> Vec<Wish> {
        let keep = self.cap.filter(|cap| now < cap.until).map(|cap| cap.keep);
        let mut excess = keep.map_or(units::Slots::ZERO, |keep| {
            self.held(now).saturating_sub(keep)
        });
        let returns_idle = core::mem::take(&mut self.returns_idle) || is_leaving;
        let mut wishes = Vec::new();
        for grant in &mut self.grants {
            let before = grant.slots();
            if returns_idle || grant.is_idle(now, settings.idle_return_ms) {
                grant.shrink(now, before);
            } else {
                grant.shrink(now, excess);
            }
            let remaining = grant.slots();
            if remaining < before {
                excess = excess.saturating_sub(before.saturating_sub(remaining));
                let number = grant.number();
                wishes.push(Wish::Return { number, remaining });
            }
        }
        self.grants
            .retain(|grant| grant.slots() > units::Slots::ZERO);
        wishes
    }

    fn renewals(&mut self, now: time::TimeMs, settings: &SlotSettings) -> Vec<Wish> {
        let before = time::SpanMs::new(settings.lease_ms.get() * 2 / 3);
        let answer = settings.answer_ms;
        self.grants
            .iter_mut()
            .filter(|grant| grant.is_renewal_due(now, before, answer))
            .map(|grant| Wish::Renew {
                number: grant.number(),
                attempt: grant.ask_renewal(now),
            })
            .collect()
    }

    fn grant(&mut self, number: GrantNumber) -> Option<&mut HeldGrant> {
        self.grants
            .iter_mut()
            .find(|grant| grant.number() == number)
    }
}
