//! The share of a team's quota that one pool has.

/// How fast a pool earns tokens, and how many it can hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolLimit {
    /// Tokens that the pool earns in a second.
    pub rate_per_s: f64,
    /// Largest number of tokens that the pool holds.
    pub capacity: f64,
}

impl PoolLimit {
    /// Returns the tokens that are earned in a time.
    pub(super) fn earned(&self, ms: u64) -> f64 {
        self.rate_per_s * ms as f64 / 1_000.0
    }
}
