//! The bound on what runs of a team over all instances, and how it is divided among pools.

use crate::quota::PoolLimit;
use crate::teams::Quota;

/// Tokens that a pool can hold where the bound has room for them: a pool that can't hold a whole token would have to
/// borrow for each request.
const MIN_POOL_TOKENS: f64 = 2.0;

/// The platform's bound on the requests of a team, in any window of time and over all instances.
///
/// The bound is `(rate x window + burst) x (1 + over) + slack` requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSettings {
    /// Length of the window.
    pub window_ms: u64,
    /// Share by which the quota may be exceeded.
    pub over: f64,
    /// Requests in a window by which the quota may be exceeded in addition.
    pub slack: f64,
    /// Number of pools, which is the number of availability zones.
    pub pools: usize,
    /// Time from the request for a token until the request that uses it must have been sent.
    pub token_ttl_ms: u64,
    /// Whether pools earn faster while the part of the bound that is reserved for a burst is unused, and keep their
    /// last tokens for urgent requests.
    pub uses_unused_burst: bool,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window_ms: 5_000,
            over: 0.0,
            slack: 0.0,
            pools: 1,
            token_ttl_ms: 100,
            uses_unused_burst: false,
        }
    }
}

impl QuotaSettings {
    /// Returns the rate and the capacity of each pool of a team.
    ///
    /// The requests of a window use tokens that the pools held at its start or earned in it, and tokens that left a
    /// pool within their time to live before it, or were returned in that time. So the window is longer by twice that
    /// time. What the bound leaves beyond the quota lets each pool hold whole tokens, and then raises the rate.
    #[must_use]
    pub fn pool_limit(&self, quota: Quota) -> PoolLimit {
        let Quota { rate_per_s, burst } = quota;
        let window_s = self.window_ms as f64 / 1_000.0;
        let exposed_s = (self.window_ms + 2 * self.token_ttl_ms) as f64 / 1_000.0;
        let bound = rate_per_s.mul_add(window_s, burst) * (1.0 + self.over) + self.slack;
        let used = rate_per_s.mul_add(exposed_s, burst);
        let pools = self.pools.max(1) as f64;
        if used >= bound {
            let share = bound / used.max(f64::MIN_POSITIVE) / pools;
            return self.of_pool(rate_per_s * share, burst * share);
        }
        let spare = bound - used;
        let more_burst = (MIN_POOL_TOKENS * pools - burst).clamp(0.0, spare);
        let more_rate = (spare - more_burst) / exposed_s;
        let rate_per_s = (rate_per_s + more_rate) / pools;
        self.of_pool(rate_per_s, (burst + more_burst) / pools)
    }

    const fn of_pool(&self, rate_per_s: f64, capacity: f64) -> PoolLimit {
        PoolLimit {
            rate_per_s,
            capacity,
            window_ms: self.window_ms,
            token_ttl_ms: self.token_ttl_ms,
            uses_unused_burst: self.uses_unused_burst,
        }
    }
}
