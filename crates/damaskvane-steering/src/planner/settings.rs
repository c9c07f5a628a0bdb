//! Settings of the planner.
//!
//! ```
//! use damaskvane_steering::{planner, policy};
//!
//! let settings = planner::Settings { policy: policy::Policy::Headroom, ..Default::default() };
//! assert!(settings.usable_permille <= 1_000);
//! ```

use damaskvane_core::time;

use crate::{policy, staleness};

/// Settings of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// What the deployment weighs most.
    pub policy: policy::Policy,
    /// How long clients keep a look-up answer.
    pub answer_ttl: time::SpanMs,
    /// When reports turn old and gone.
    pub limits: staleness::Limits,
    /// The part of a zone's capacity that steering may promise, in thousandths.
    pub usable_permille: u32,
    /// By how much of a zone's capacity its planned flow may rise in one step, in thousandths.
    pub step_permille: u32,
    /// The same while a zone is out of reach and its clients need a place.
    pub rescue_step_permille: u32,
    /// When a refused client may come back.
    pub retry_after: time::SpanMs,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: policy::Policy::Latency,
            answer_ttl: time::SpanMs::new(2_000),
            limits: staleness::Limits::default(),
            usable_permille: 970,
            step_permille: 100,
            rescue_step_permille: 500,
            retry_after: time::SpanMs::new(2_000),
        }
    }
}
