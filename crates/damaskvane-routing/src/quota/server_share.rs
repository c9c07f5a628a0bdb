//! One holder's part of the tokens of a server that limits the rate of its requests.
//!
//! Each holder has a share of its own, which earns tokens whatever the others do. A holder that is asked for tokens leads:
//! it leases the shares of the others and earns their tokens as well. A lease that is not renewed ends, and with it the
//! lender earns again. The leader counts a lease from the moment at which it asked and the lender from the moment at which
//! it was asked, which is later, so that no share earns at two places.

use std::collections::BTreeMap;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::quota::Denial;

/// Length of a lease.
pub const LEASE: SpanMs = SpanMs::new(1_000);
/// Largest time from the request for a lease until its tokens arrive.
pub const MAX_REPLY: SpanMs = SpanMs::new(250);
/// Time after which a leader asks for its leases again.
const RENEWAL: SpanMs = SpanMs::new(300);
/// Time after the last request for a token in which a holder lends its share only to one that precedes it.
const IN_USE_MS: u64 = 1_000;
/// Tokens that each lower priority leaves to higher ones, and largest part of what is held beyond one token.
const KEPT_TOKENS: f64 = 0.5;
const KEPT_PART: f64 = 0.45;
/// Lowest priority that is told from higher ones.
const LOWEST_PRIORITY: u32 = 2;
/// Time over which the demand is averaged.
const DEMAND_MS: f64 = 300.0;
/// Requests for each token at which callers are told to ask less often.
const CROWDED: f64 = 3.0;
/// Shortest and longest time after which an instance asks again.
const MIN_WAIT_MS: f64 = 20.0;
const MAX_WAIT_MS: f64 = 2_000.0;

/// How fast the tokens of a server are earned, and among how many holders.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareTerms {
    /// Tokens that all holders together earn in a second.
    pub rate_per_s: f64,
    /// Largest number of tokens that all holders together hold.
    pub capacity: f64,
    /// Number of holders.
    pub holders: usize,
    /// Number of holders that are not alive.
    pub gone: usize,
}

/// The tokens that one holder has of a server.
#[derive(Debug, Clone)]
pub struct ServerShare {
    level: f64,
    updated: TimeMs,
    demand: f64,
    demand_updated: TimeMs,
    /// Time before which the own share earns nothing: it is lent, or an earlier process may have lent it.
    lent_until: TimeMs,
    lent_to: Option<ids::InstanceId>,
    /// Shares of other holders that this one leases, each with the end of its lease.
    leases: BTreeMap<ids::InstanceId, TimeMs>,
    renews_at: TimeMs,
}

impl ServerShare {
    /// Returns a share without tokens, which earns from `earns_from` on.
    #[must_use]
    pub const fn new(now: TimeMs, earns_from: TimeMs) -> Self {
        Self {
            level: 0.0,
            updated: now,
            demand: 0.0,
            demand_updated: TimeMs::ZERO,
            lent_until: earns_from,
            lent_to: None,
            leases: BTreeMap::new(),
            renews_at: TimeMs::ZERO,
        }
    }

    /// Takes a token for a request of this priority, 0 being the most urgent.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should ask again.
    pub fn take(&mut self, now: TimeMs, terms: ShareTerms, priority: u32) -> Result<(), Denial> {
        self.demand = self.demand(now) + 1.0;
        self.demand_updated = now;
        self.earn(now, terms);
        let needed = 1.0 + self.kept(now, terms, priority);
        if self.level >= needed {
            self.level -= 1.0;
            return Ok(());
        }
        Err(Denial {
            retry_after_ms: self.wait_ms(now, terms, needed),
        })
    }

    /// Puts back a token whose request was certainly not sent, while its time to live lasts.
    pub fn give_back(&mut self, now: TimeMs, terms: ShareTerms) {
        self.earn(now, terms);
        self.level = (self.level + 1.0).min(self.capacity(now, terms));
    }

    /// Returns the instance to which the whole share is lent; `None` while there is something to take tokens from.
    #[must_use]
    pub fn lent_to(&self, now: TimeMs) -> Option<&ids::InstanceId> {
        let is_leading = self.leases.values().any(|until| now < *until);
        let lent_to = self.lent_to.as_ref();
        lent_to.filter(|_| now < self.lent_until && !is_leading)
    }

    /// Lends the own share for [`LEASE`] from now on; returns the tokens that go with it, or `None` if it is not lent.
    ///
    /// A holder that is asked for tokens itself lends only to one that precedes it in the order of holders, which all
    /// callers ask first.
    pub fn lend(
        &mut self,
        now: TimeMs,
        terms: ShareTerms,
        to: &ids::InstanceId,
        precedes: bool,
    ) -> Option<f64> {
        let is_renewal = self.lent_to.as_ref() == Some(to);
        let is_in_use = now.since(self.demand_updated).get() < IN_USE_MS;
        let is_free = now >= self.lent_until && (precedes || !is_in_use);
        if !is_free && !is_renewal {
            return None;
        }
        self.earn(now, terms);
        self.lent_to = Some(to.clone());
        self.lent_until = self.lent_until.max(now + LEASE);
        let kept = self.level.min(self.capacity(now, terms));
        Some(core::mem::replace(&mut self.level, kept) - kept)
    }

    /// Returns whether the other holders are to be asked for their shares now, and takes note of it.
    ///
    /// A holder that has lent its own share lets its leases end: the one that leads needs those shares as well.
    pub fn takes_renewal(&mut self, now: TimeMs) -> bool {
        let is_lent = self.lent_to.is_some() && now < self.lent_until;
        let is_due = now >= self.renews_at && !is_lent;
        if is_due {
            self.renews_at = now + RENEWAL;
        }
        is_due
    }

    /// Adds the share of another holder, which lent it with these tokens when it was asked at `asked_at`.
    ///
    /// Tokens that arrive later than [`MAX_REPLY`] are lost: the lender may earn new ones once its lease has ended.
    pub fn receive(
        &mut self,
        now: TimeMs,
        terms: ShareTerms,
        from: &ids::InstanceId,
        asked_at: TimeMs,
        tokens: f64,
    ) {
        self.earn(now, terms);
        let until = asked_at + LEASE;
        let lease = self.leases.entry(from.clone()).or_insert(until);
        *lease = until.max(*lease);
        let is_late = now.since(asked_at) > MAX_REPLY;
        let received = if is_late { 0.0 } else { tokens };
        self.level = (self.level + received).min(self.capacity(now, terms));
    }

    /// Returns the time since the share was last used.
    pub(super) fn idle_ms(&self, now: TimeMs) -> u64 {
        now.since(self.updated).get()
    }

    fn earn(&mut self, now: TimeMs, terms: ShareTerms) {
        let since = self.updated;
        self.updated = self.updated.max(now);
        let own_ms = now.since(since.max(self.lent_until)).get();
        let leased = self.leases.values();
        let leased_ms: u64 = leased.map(|until| now.min(*until).since(since).get()).sum();
        let inherited_ms = self.inherited(now, terms) as u64 * now.since(since).get();
        self.leases.retain(|_, until| now < *until);
        let each_per_s = terms.rate_per_s / terms.holders.max(1) as f64;
        let earned = each_per_s * (own_ms + leased_ms + inherited_ms) as f64 / 1_000.0;
        self.level = (self.level + earned).min(self.capacity(now, terms));
    }

    /// Returns the number of shares that earn here.
    fn held(&self, now: TimeMs) -> usize {
        let own = usize::from(now >= self.lent_until);
        own + self.leases.values().filter(|until| now < **until).count()
    }

    /// Returns the number of shares of lost holders that earn here: those that hold most shares take over the others'.
    ///
    /// Holders that only seem to be lost keep to their own shares, so that all together exceed the limit by less than half.
    fn inherited(&self, now: TimeMs, terms: ShareTerms) -> usize {
        let held = self.held(now);
        let missing = terms.holders.saturating_sub(held);
        if held * 2 > terms.holders {
            missing.min(terms.gone)
        } else {
            0
        }
    }

    fn capacity(&self, now: TimeMs, terms: ShareTerms) -> f64 {
        let shares = self.held(now) + self.inherited(now, terms);
        terms.capacity * shares as f64 / terms.holders.max(1) as f64
    }

    fn kept(&self, now: TimeMs, terms: ShareTerms, priority: u32) -> f64 {
        let beyond_one = (self.capacity(now, terms) - 1.0).max(0.0);
        KEPT_TOKENS.min(beyond_one * KEPT_PART) * f64::from(priority.min(LOWEST_PRIORITY))
    }

    /// Returns the time until the tokens suffice, longer if callers ask many times for each token.
    fn wait_ms(&self, now: TimeMs, terms: ShareTerms, needed: f64) -> u64 {
        let per_s = terms.rate_per_s.max(f64::MIN_POSITIVE);
        let asked_per_s = self.demand(now) * 1_000.0 / DEMAND_MS;
        let crowding = (asked_per_s / (per_s * CROWDED)).max(1.0);
        let wait_ms = (needed - self.level) / per_s * 1_000.0 * crowding;
        wait_ms.clamp(MIN_WAIT_MS, MAX_WAIT_MS) as u64
    }

    /// Returns the number of requests for tokens in the last [`DEMAND_MS`], as an average that decays.
    fn demand(&self, now: TimeMs) -> f64 {
        let elapsed_ms = now.since(self.demand_updated).get() as f64;
        self.demand * (-elapsed_ms / DEMAND_MS).exp()
    }
}
