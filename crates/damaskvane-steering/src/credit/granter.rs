//! The receiver's side: how much of one service's capacity is promised, and to whom.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::{credit, rate};
//!
//! let mut granter = credit::Granter::new(credit::GranterSettings::default());
//! let load = credit::LocalLoad {
//!     capacity: rate::Rate::per_second(100),
//!     local: rate::Rate::per_second(60),
//! };
//! let request = credit::CreditRequest { number: 1, rate: rate::Rate::per_second(90) };
//! let grant = granter.grant(&"mb-a".parse()?, request, load, time::TimeMs::ZERO);
//! assert!(grant.rate <= rate::Rate::per_second(40));
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::credit::message::{CreditRequest, Grant};
use crate::rate;

/// Settings of a receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GranterSettings {
    /// How long a grant lasts.
    pub lifetime: time::SpanMs,
    /// How long clients keep a look-up answer.
    pub lookup_ttl: time::SpanMs,
    /// What every source may use without a grant.
    pub static_shares: BTreeMap<ids::AvailabilityZoneId, rate::Rate>,
    /// The part of what is free that one grant may take, in thousandths.
    pub greed_permille: u32,
}

impl Default for GranterSettings {
    fn default() -> Self {
        Self {
            lifetime: time::SpanMs::new(5_000),
            lookup_ttl: time::SpanMs::new(2_000),
            static_shares: BTreeMap::new(),
            greed_permille: 500,
        }
    }
}

/// What the receiver measures of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalLoad {
    /// What the zone can carry.
    pub capacity: rate::Rate,
    /// What its own clients use, with those that may come back from a cached answer.
    pub local: rate::Rate,
}

#[derive(Debug, Clone, Copy)]
struct Outstanding {
    rate: rate::Rate,
    free_at: time::TimeMs,
}

/// How much of one service's capacity is promised, and to whom.
#[derive(Debug)]
pub struct Granter {
    settings: GranterSettings,
    outstanding: BTreeMap<ids::AvailabilityZoneId, Vec<Outstanding>>,
    limit_violations: u64,
}

impl Granter {
    /// A receiver that has granted nothing.
    #[must_use]
    pub const fn new(settings: GranterSettings) -> Self {
        Self {
            settings,
            outstanding: BTreeMap::new(),
            limit_violations: 0,
        }
    }

    /// Answers an ask out of what is free.
    ///
    /// A renewal may be smaller than the grant before it, which the source may use until it lapses:
    /// the larger of both stays reserved until then.
    pub fn grant(
        &mut self,
        source: &ids::AvailabilityZoneId,
        request: CreditRequest,
        load: LocalLoad,
        now: time::TimeMs,
    ) -> Grant {
        self.remove_expired(now);
        let rate = self.affordable(source, request.rate, load);
        let rate = self.assert_safe(source, rate, load);
        let free_at = now + self.settings.lifetime + self.settings.lookup_ttl;
        let entry = Outstanding { rate, free_at };
        self.outstanding
            .entry(source.clone())
            .or_default()
            .push(entry);
        Grant {
            number: request.number,
            rate,
            lifetime: self.settings.lifetime,
        }
    }

    /// What is reserved for all other zones, static shares included.
    #[must_use]
    pub fn reserved(&self) -> rate::Rate {
        let mut sources: Vec<_> = self.settings.static_shares.keys().collect();
        sources.extend(self.outstanding.keys());
        sources.sort();
        sources.dedup();
        sources
            .into_iter()
            .map(|source| self.reserved_for(source))
            .sum()
    }

    /// What the zone's own clients may use.
    #[must_use]
    pub fn local_capacity(&self, capacity: rate::Rate) -> rate::Rate {
        capacity.saturating_sub(self.reserved())
    }

    /// Grants that were cut because they broke the sum; always zero unless the code is wrong.
    #[must_use]
    pub const fn limit_violations(&self) -> u64 {
        self.limit_violations
    }

    /// Frees what has lapsed.
    pub fn remove_expired(&mut self, now: time::TimeMs) {
        for outstanding in self.outstanding.values_mut() {
            outstanding.retain(|entry| now < entry.free_at);
        }
        self.outstanding
            .retain(|_, outstanding| !outstanding.is_empty());
    }

    fn static_share(&self, source: &ids::AvailabilityZoneId) -> rate::Rate {
        let share = self.settings.static_shares.get(source);
        share.copied().unwrap_or_default()
    }

    fn reserved_for(&self, source: &ids::AvailabilityZoneId) -> rate::Rate {
        let granted = self.outstanding.get(source).into_iter().flatten();
        let largest = granted.map(|entry| entry.rate).max().unwrap_or_default();
        largest.max(self.static_share(source))
    }

    fn affordable(
        &self,
        source: &ids::AvailabilityZoneId,
        asked: rate::Rate,
        load: LocalLoad,
    ) -> rate::Rate {
        let reserved = self.reserved();
        let free = load.capacity.saturating_sub(load.local + reserved);
        let rise = free.permille(self.settings.greed_permille);
        let kept = if load.capacity >= load.local + reserved {
            self.reserved_for(source)
        } else {
            // Over capacity already, because capacity fell or local demand rose: nothing granted is
            // renewed, so that the sum comes down as grants lapse.
            rate::Rate::ZERO
        };
        asked.min(kept + rise).max(self.static_share(source))
    }

    /// Asserts: reserved and local together stay within capacity, or nothing is added to them.
    fn assert_safe(
        &mut self,
        source: &ids::AvailabilityZoneId,
        rate: rate::Rate,
        load: LocalLoad,
    ) -> rate::Rate {
        let before = self.reserved_for(source);
        let added = rate.saturating_sub(before);
        let sum = self.reserved() + added + load.local;
        let is_safe = added == rate::Rate::ZERO || sum <= load.capacity;
        debug_assert!(is_safe, "{sum} granted and local over {}", load.capacity);
        if is_safe {
            return rate;
        }
        self.limit_violations += 1;
        before
    }
}
