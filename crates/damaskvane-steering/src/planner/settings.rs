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
    /// What the deployment weighs most.
    pub policy: policy::Policy,
    /// How long clients keep a look-up answer.
    pub lookup_ttl: time::SpanMs,
    /// When reports turn old and gone.
    pub limits: staleness::Limits,
    /// The part of a zone's capacity that steering may promise, in thousandths.
    pub usable_permille: u32,
    /// What is kept free besides, in thousandths of the root of the capacity in requests a second.
    pub margin_permille: u32,
    /// By how much of a zone's capacity its planned flow may rise in one step, in thousandths.
    pub step_permille: u32,
    /// The same while a zone is out of reach and its clients need a place.
    pub failover_step_permille: u32,
    /// When a refused client may come back.
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
    /// What steering may promise of a capacity.
    ///
    /// Arrivals deviate from their mean by its root, so a margin that is a part of the capacity alone
    /// is too much for a large zone and too little for a small one, which is then sent more than it
    /// carries in one second of ten.
    #[must_use]
    pub fn usable(&self, capacity: rate::Rate) -> rate::Rate {
        // The root of a rate in thousandths is in roots of a thousandth; times 1,000 under the root,
        // it is in thousandths again.
        let root = rate::Rate::from_milli(capacity.scaled(1_000, 1).milli().isqrt());
        let margin = root.permille(self.margin_permille);
        capacity
            .permille(self.usable_permille)
            .saturating_sub(margin)
    }
}
