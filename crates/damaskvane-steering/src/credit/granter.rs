//! Receiver's side of the credit: grants of one service's capacity, by source zone.
//!
//! A receiver is a zone that permits source zones to send it requests at granted rates.
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

/// Settings by which a receiver grants credit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GranterSettings {
    /// How long a source may use a grant.
    pub lifetime: time::SpanMs,
    /// How long clients cache a lookup result.
    pub lookup_ttl: time::SpanMs,
    /// Rate that each source zone may use without a grant.
    pub static_shares: BTreeMap<ids::AvailabilityZoneId, rate::Rate>,
    /// Maximum part of the free capacity that one grant may take, in thousandths.
    pub max_grant_permille: u32,
}

impl Default for GranterSettings {
    fn default() -> Self {
        Self {
            lifetime: time::SpanMs::new(5_000),
            lookup_ttl: time::SpanMs::new(2_000),
            static_shares: BTreeMap::new(),
            max_grant_permille: 500,
        }
    }
}

/// Capacity and load that a receiving zone measures of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalLoad {
    /// Capacity of the zone.
    pub capacity: rate::Rate,
    /// Load of the zone's own clients, including clients in other zones that may return because of
    /// a cached lookup result.
    pub local: rate::Rate,
}

#[derive(Debug, Clone, Copy)]
struct Outstanding {
    rate: rate::Rate,
    released_at: time::TimeMs,
}

/// Tracks how much of one service's capacity is granted to each source zone.
#[derive(Debug)]
pub struct Granter {
    settings: GranterSettings,
    outstanding: BTreeMap<ids::AvailabilityZoneId, Vec<Outstanding>>,
    limit_violations: u64,
}

impl Granter {
    /// Creates a granter without grants.
    #[must_use]
    pub const fn new(settings: GranterSettings) -> Self {
        Self {
            settings,
            outstanding: BTreeMap::new(),
            limit_violations: 0,
        }
    }

    /// Grants a credit request from the free capacity.
    ///
    /// A renewal may be smaller than the previous grant, which the source may use until that grant
    /// expires. The larger of the two rates stays reserved until then.
    pub fn grant(
        &mut self,
        source: &ids::AvailabilityZoneId,
        request: CreditRequest,
        load: LocalLoad,
        now: time::TimeMs,
    ) -> Grant {
        self.remove_expired(now);
        let rate = self.grantable(source, request.rate, load);
        let rate = self.limit_to_capacity(source, rate, load);
        let released_at = now + self.settings.lifetime + self.settings.lookup_ttl;
        let entry = Outstanding { rate, released_at };
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

    /// Returns the rate reserved for all other zones: for each zone the largest of its grants and
    /// its static share, which needs no grant.
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

    /// Returns the part of `capacity` that the zone's own clients may use.
    #[must_use]
    pub fn local_capacity(&self, capacity: rate::Rate) -> rate::Rate {
        capacity.saturating_sub(self.reserved())
    }

    /// Returns the number of grants that were reduced because reserved rate and local load would
    /// have exceeded the capacity.
    ///
    /// A value above zero indicates a programming error.
    #[must_use]
    pub const fn limit_violations(&self) -> u64 {
        self.limit_violations
    }

    /// Removes expired grants and releases their rate.
    pub fn remove_expired(&mut self, now: time::TimeMs) {
        for outstanding in self.outstanding.values_mut() {
            outstanding.retain(|entry| now < entry.released_at);
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

    fn grantable(
        &self,
        source: &ids::AvailabilityZoneId,
        requested: rate::Rate,
        load: LocalLoad,
    ) -> rate::Rate {
        let reserved = self.reserved();
        let free = load.capacity.saturating_sub(load.local + reserved);
        let rise = free.permille(self.settings.max_grant_permille);
        let retained = if load.capacity >= load.local + reserved {
            self.reserved_for(source)
        } else {
            // Reserved rate and local load exceed the capacity already, because the capacity fell
            // or the local load rose. No grant is renewed, so that the sum falls as grants expire.
            rate::Rate::ZERO
        };
        requested
            .min(retained + rise)
            .max(self.static_share(source))
    }

    /// Limits a grant so that reserved rate and local load together stay within capacity.
    ///
    /// A grant that adds nothing to the reserved rate always passes.
    fn limit_to_capacity(
        &mut self,
        source: &ids::AvailabilityZoneId,
        rate: rate::Rate,
        load: LocalLoad,
    ) -> rate::Rate {
        let before = self.reserved_for(source);
        let added = rate.saturating_sub(before);
        let sum = self.reserved() + added + load.local;
        let is_safe = added == rate::Rate::ZERO || sum <= load.capacity;
        debug_assert!(
            is_safe,
            "granted and local rate {sum} exceeds the capacity {}",
            load.capacity
        );
        if is_safe {
            return rate;
        }
        self.limit_violations += 1;
        before
    }
}
