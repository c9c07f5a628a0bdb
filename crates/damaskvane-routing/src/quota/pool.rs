//! The tokens of one team in one availability zone.

use damaskvane_core::time::TimeMs;

use crate::quota::PoolLimit;

/// Time over which a pool's demand is averaged, and for which a pool keeps tokens for its own zone when it lends.
const DEMAND_MS: f64 = 300.0;
/// Shortest and longest time after which a caller should ask again.
const MIN_RETRY_MS: f64 = 10.0;
const MAX_RETRY_MS: f64 = 2_000.0;

/// A pool of tokens. A pool begins empty, so that a process that starts anew can't spend a burst twice.
#[derive(Debug, Clone)]
pub struct TokenPool {
    level: f64,
    updated: TimeMs,
    /// Room that is kept free for tokens that other pools were asked for. Without it the pools would earn tokens while
    /// others are on their way, and hold more than the quota in sum.
    reserved: f64,
    demand: f64,
    demand_updated: TimeMs,
}

impl TokenPool {
    /// Creates an empty pool that earns tokens from `since` on.
    #[must_use]
    pub const fn new(since: TimeMs) -> Self {
        Self {
            level: 0.0,
            updated: since,
            reserved: 0.0,
            demand: 0.0,
            demand_updated: since,
        }
    }

    /// Takes one token for a request; returns whether there was one.
    pub fn take(&mut self, now: TimeMs, limit: PoolLimit) -> bool {
        self.earn(now, limit);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    /// Counts a request that needs a token.
    pub fn record_demand(&mut self, now: TimeMs) {
        self.demand = self.demand(now) + 1.0;
        self.demand_updated = now;
    }

    /// Puts back a token whose request was certainly not run, while its time to live lasts.
    pub fn give_back(&mut self, now: TimeMs, limit: PoolLimit) {
        self.earn(now, limit);
        self.add(1.0, limit);
    }

    /// Takes out at most `asked` tokens for another pool; what this zone needs itself stays.
    pub fn lend(&mut self, now: TimeMs, limit: PoolLimit, asked: f64) -> f64 {
        self.earn(now, limit);
        let spare = (self.level - self.demand(now)).max(0.0);
        let lent = asked.clamp(0.0, spare);
        self.level -= lent;
        lent
    }

    /// Reserves room for tokens of `lenders` other pools; returns how many to ask each of them for.
    pub fn reserve(&mut self, now: TimeMs, limit: PoolLimit, lenders: usize) -> f64 {
        self.earn(now, limit);
        let needed = 1.0 - self.level + self.demand(now);
        let room = limit.capacity - self.level - self.reserved;
        let each = needed.min(room / lenders.max(1) as f64).max(0.0);
        self.reserved += each * lenders as f64;
        each
    }

    /// Adds the tokens that another pool lent.
    pub fn receive(&mut self, now: TimeMs, limit: PoolLimit, lent: f64) {
        self.earn(now, limit);
        self.reserved = (self.reserved - lent).max(0.0);
        self.add(lent, limit);
    }

    /// Gives up reserved room: tokens that arrive later are not added.
    pub fn release(&mut self, tokens: f64) {
        self.reserved = (self.reserved - tokens).max(0.0);
    }

    /// Returns the time until the pool will have earned a whole token beyond those for which others wait.
    #[must_use]
    pub fn retry_after_ms(&self, now: TimeMs, limit: PoolLimit) -> u64 {
        let missing = (1.0 - self.level).max(0.0) + self.demand(now);
        let wait_ms = missing / limit.rate_per_s.max(f64::MIN_POSITIVE) * 1_000.0;
        wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u64
    }

    /// Returns the number of requests in the last [`DEMAND_MS`], as an average that decays.
    fn demand(&self, now: TimeMs) -> f64 {
        let elapsed_ms = now.since(self.demand_updated).get() as f64;
        self.demand * (-elapsed_ms / DEMAND_MS).exp()
    }

    fn earn(&mut self, now: TimeMs, limit: PoolLimit) {
        let earned = limit.earned(now.since(self.updated).get());
        self.updated = self.updated.max(now);
        self.add(earned, limit);
    }

    fn add(&mut self, tokens: f64, limit: PoolLimit) {
        let room = (limit.capacity - self.reserved).max(0.0);
        self.level = (self.level + tokens).min(room);
    }
}
