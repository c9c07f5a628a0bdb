//! Weights from every source zone to every destination zone, per service.
//!
//! A source is the zone nearest to a client; a destination is a zone whose backend servers run the
//! client's requests. A weight is the share of a source's clients that use a destination.
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
pub(crate) use service::{Estimate, ReportedCapacity};
pub use source::{Share, SourcePlan};

/// Share of all clients of a source, in millionths.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Traffic plan for all services, computed at one point in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Time at which the plan was computed.
    pub made_at: time::TimeMs,
    /// Plan of each service.
    pub services: BTreeMap<ids::ServiceId, ServicePlan>,
    /// Number of destinations, over all services, to which planning assigned more than their usable
    /// capacity because of a programming error. The planner drops the flows to such a destination.
    pub broken_invariants: u32,
}

impl Plan {
    /// Creates a plan without services, under which every lookup is refused.
    #[must_use]
    pub const fn empty(made_at: time::TimeMs) -> Self {
        Self {
            made_at,
            services: BTreeMap::new(),
            broken_invariants: 0,
        }
    }

    /// Returns the plan for the clients of one source zone, if the plan covers the service and the
    /// zone.
    #[must_use]
    pub fn source(
        &self,
        service: &ids::ServiceId,
        source: &ids::AvailabilityZoneId,
    ) -> Option<&SourcePlan> {
        self.services.get(service)?.sources.get(source)
    }
}
