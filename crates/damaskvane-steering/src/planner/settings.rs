//! Settings of the planner.
//!
//! ```
//! use damaskvane_steering::{planner, policy};
//!
//! let settings = planner::Settings { policy: policy::Policy::Headroom, ..Default::default() };
//! assert!(settings.usable_permille <= 1_000);
//! ```

use damaskvane_core::time;

use crate::{policy, rate, staleness};

/// Settings of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Trade-off between latency and free capacity.
    pub policy: policy::Policy,
    /// How long clients cache a lookup result.
    pub lookup_ttl: time::SpanMs,
    /// Ages at which zone reports become old and expire.
    pub limits: staleness::Limits,
    /// Part of a zone's capacity that the planner may assign, in thousandths.
    pub usable_permille: u32,
    /// Capacity that the planner does not assign beyond the part excluded by `usable_permille`, in
    /// thousandths of the square root of the capacity in requests per second.
    pub margin_permille: u32,
    /// Maximum rise of the planned flow to a zone from one plan to the next (a step), in
    /// thousandths of the zone's capacity.
    pub step_permille: u32,
    /// Maximum rise of the planned flow to a zone in one step while some other zone is excluded and
    /// its clients need capacity elsewhere, in thousandths of the zone's capacity.
    pub failover_step_permille: u32,
    /// How long a refused client waits before its next lookup.
    pub retry_after: time::SpanMs,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: policy::Policy::Latency,
            lookup_ttl: time::SpanMs::new(2_000),
            limits: staleness::Limits::default(),
            usable_permille: 980,
            margin_permille: 400,
            step_permille: 100,
            failover_step_permille: 500,
            retry_after: time::SpanMs::new(2_000),
        }
    }
}

impl Settings {
    /// Returns the part of a capacity that the planner may assign.
    ///
    /// The standard deviation of the arrivals is the square root of their mean. A reserve
    /// proportional to the capacity alone is too large for a large zone and too small for a small
    /// one, which would then receive more than it can carry in one second of ten.
    #[must_use]
    pub fn usable(&self, capacity: rate::Rate) -> rate::Rate {
        // The square root of a rate in thousandths has the unit of the root of a thousandth; the
        // factor 1,000 under the root converts the result to thousandths.
        let root = rate::Rate::from_milli(capacity.scaled(1_000, 1).milli().isqrt());
        let margin = root.permille(self.margin_permille);
        capacity
            .permille(self.usable_permille)
            .saturating_sub(margin)
    }
}
