//! Weights from every source zone to every destination zone, by service.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::plan;
//!
//! let plan = plan::Plan::empty(time::TimeMs::ZERO);
//! assert!(plan.services.is_empty());
//! ```

mod service;
mod source;

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

pub use service::ServicePlan;
pub(crate) use service::{Estimate, Reported};
pub use source::{Share, SourcePlan};

/// The whole, in millionths.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Weights for every service, made at one point in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// When the plan was made.
    pub made_at: time::TimeMs,
    /// The plan of each service.
    pub services: BTreeMap<ids::ServiceId, ServicePlan>,
    /// Invariants found broken while planning; each refused the unsafe part of the plan.
    pub broken_invariants: u32,
}

impl Plan {
    /// A plan that sends nothing anywhere.
    #[must_use]
    pub const fn empty(made_at: time::TimeMs) -> Self {
        Self {
            made_at,
            services: BTreeMap::new(),
            broken_invariants: 0,
        }
    }

    /// The plan for the clients of one source zone.
    #[must_use]
    pub fn source(
        &self,
        service: &ids::ServiceId,
        source: &ids::AvailabilityZoneId,
    ) -> Option<&SourcePlan> {
        self.services.get(service)?.sources.get(source)
    }
}
