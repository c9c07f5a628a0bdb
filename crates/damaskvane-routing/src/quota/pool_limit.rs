//! The share of a team's quota that one pool has.

/// Priority of the most urgent requests.
pub const MOST_URGENT: u32 = 0;
/// Tokens that each lower priority leaves to higher ones, and largest part of the capacity beyond one token. Without
/// that limit a small pool would be full, and earn nothing, before it has a token for the lowest priority.
const KEPT_TOKENS: f64 = 0.5;
const KEPT_PART: f64 = 0.45;
/// Lowest priority that is told from higher ones.
const LOWEST_PRIORITY: u32 = 2;

/// How fast a pool earns tokens, and how many it can hold.
///
/// In any window, the requests that use a pool's tokens are at most its bound: `rate x (window + 2 x time to live) +
/// capacity`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolLimit {
    /// Tokens that the pool earns in a second, whatever it holds.
    pub rate_per_s: f64,
    /// Largest number of tokens that the pool holds.
    pub capacity: f64,
    /// Length of the window of the bound.
    pub window_ms: u64,
    /// Time to live of a token that was taken.
    pub token_ttl_ms: u64,
    /// Whether the pool earns faster while it holds few tokens, and keeps its last tokens for urgent requests.
    pub uses_unused_burst: bool,
}

impl PoolLimit {
    /// Returns the tokens that a pool must hold to give one to a request of this priority, 0 being the most urgent.
    pub(super) fn needed(&self, priority: u32) -> f64 {
        if !self.uses_unused_burst {
            return 1.0;
        }
        let beyond_one = (self.capacity - 1.0).max(0.0);
        let kept = KEPT_TOKENS * f64::from(priority.min(LOWEST_PRIORITY));
        1.0 + kept.min(beyond_one * KEPT_PART)
    }

    /// Returns the tokens that are earned in a time.
    pub(super) fn earned(&self, ms: u64) -> f64 {
        self.rate_per_s * ms as f64 / 1_000.0
    }

    /// Returns the largest exposure of a pool (see `TokenPool`). With it, the fixed rate keeps the bound.
    pub(super) fn max_exposure(&self) -> f64 {
        self.capacity + self.earned(self.token_ttl_ms)
    }

    /// Returns the largest number of requests in a window that use the pool's tokens.
    pub(super) fn bound(&self) -> f64 {
        self.max_exposure() + self.earned(self.earning_ms())
    }

    /// Returns the length in milliseconds of the time whose earnings may be used in one window.
    ///
    /// A token that is used in a window was taken at most its time to live before it.
    pub(super) fn earning_ms(&self) -> u64 {
        (self.window_ms + self.token_ttl_ms).max(1)
    }

    /// Returns the tokens to be earned in a second if the pool's exposure was at most `peak` in the last
    /// `earning_ms`.
    ///
    /// With the exposure `e` at the beginning of that time, at most `e + time x (bound - e) / time` tokens are used.
    pub(super) fn rate_after(&self, peak: f64) -> f64 {
        let unused_per_s = (self.bound() - peak).max(0.0) * 1_000.0 / self.earning_ms() as f64;
        if self.uses_unused_burst {
            unused_per_s
        } else {
            unused_per_s.min(self.rate_per_s)
        }
    }
}
