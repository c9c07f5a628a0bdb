//! What a pool shows to operators.

/// The tokens of one pool at a moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolState {
    /// Tokens that the pool holds.
    pub level: f64,
    /// Tokens that it earns in a second.
    pub rate_per_s: f64,
    /// Requests that ask it for a token in a second.
    pub demand_per_s: f64,
}
