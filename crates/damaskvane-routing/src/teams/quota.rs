//! The quota of a team.

/// Number of requests that a team may have run, over all entry instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests a second that are always allowed.
    pub rate_per_s: f64,
    /// Requests that are allowed beyond the rate after a quiet time.
    pub burst: f64,
}
