//! Ways to keep to a limit.

use damaskvane_routing::limit::RequestRate;
use damaskvane_routing::quota::PoolLimit;

/// Tokens that a pool can hold at the least: one with less than a whole token could send nothing.
const MIN_POOL_TOKENS: f64 = 1.33;
/// Length of the window, and twice the time to live of a token more, in seconds.
const WINDOW_S: f64 = 4.0;
const EXPOSED_S: f64 = 4.2;
const SLACK: f64 = 5.0;
const WINDOW_MS: u64 = 4_000;
const TOKEN_TTL_MS: u64 = 100;

/// A way to keep to a server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Design {
    /// Each instance earns its share of the limit, in fractions of a token.
    FixedShare,
    /// Pools of tokens at this many instances, which lend tokens to each other.
    Pools(usize),
    /// Shares at this many instances, the first of which leases those of the others: the product's design.
    Leases(usize),
}

impl Design {
    /// Returns the number of instances that hold tokens.
    pub fn holders(self, instances: usize) -> usize {
        match self {
            Self::FixedShare => instances,
            Self::Pools(most) | Self::Leases(most) => most.min(instances),
        }
    }

    /// Returns whether instances without tokens ask others for them.
    pub fn moves_tokens(self) -> bool {
        self != Self::FixedShare
    }

    /// Returns the rate and capacity of one pool.
    pub fn pool_limit(self, rate: RequestRate, holders: usize) -> PoolLimit {
        let pools = holders as f64;
        if self == Self::FixedShare {
            return PoolLimit {
                rate_per_s: rate.per_s() / pools,
                capacity: 1.0,
                window_ms: WINDOW_MS,
                token_ttl_ms: TOKEN_TTL_MS,
                uses_unused_burst: false,
            };
        }
        let bound = rate.per_s() * WINDOW_S + SLACK;
        let rate_per_s = rate
            .per_s()
            .min((bound - MIN_POOL_TOKENS * pools) / EXPOSED_S);
        PoolLimit {
            rate_per_s: rate_per_s / pools,
            capacity: (bound - rate_per_s * EXPOSED_S) / pools,
            window_ms: WINDOW_MS,
            token_ttl_ms: TOKEN_TTL_MS,
            uses_unused_burst: false,
        }
    }
}
