//! Computes the next traffic plan from the topology, the zone reports, the previous plan and the
//! current time.
//!
//! The computation is deterministic: every instance derives the same plan from the same input.
//! Demand is measured by source zone, the zone nearest to the clients. Destination zones are filled
//! nearest first, in steps of utilization (the part of a zone's capacity in use). The policy's knee
//! is the utilization above which clients are sent to zones farther away. Planned flow never
//! exceeds a zone's capacity minus the traffic that clients may still send because of cached lookup
//! results.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::{digest, input, planner};
//!
//! let planner = planner::Planner::new(planner::Settings::default());
//! let topology = input::Topology::default();
//! let plan = planner.plan(&topology, &digest::View::default(), None, time::TimeMs::ZERO);
//! assert_eq!(plan.broken_invariants, 0);
//! ```

mod capacity;
mod check;
mod demand;
mod fill;
mod flows;
mod inputs;
mod links;
mod matrix;
mod settings;

use damaskvane_core::time;

use crate::{digest, input, plan};

pub use settings::Settings;

/// Computes plans with one set of settings.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: Settings,
}

impl Planner {
    /// Creates a planner with `settings`.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self { settings }
    }

    /// Returns the settings that the planner was created with.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Computes the plan that replaces `previous` at the time `now`.
    ///
    /// `previous` is `None` for the first plan of an instance.
    #[must_use]
    pub fn plan(
        &self,
        topology: &input::Topology,
        view: &digest::View,
        previous: Option<&plan::Plan>,
        now: time::TimeMs,
    ) -> plan::Plan {
        let geometry = inputs::Geometry::new(topology);
        let mut next = plan::Plan::empty(now);
        let mut links = links::Budgets::new(&geometry);
        for (id, service) in &topology.services {
            let inputs = inputs::Inputs {
                settings: &self.settings,
                geometry: &geometry,
                service,
                id,
                view,
                previous: previous.and_then(|plan| plan.services.get(id)),
                now,
            };
            let planned = plan_service(&inputs, &mut links, &mut next.broken_invariants);
            next.services.insert(id.clone(), planned);
        }
        next
    }
}

fn plan_service(
    inputs: &inputs::Inputs<'_>,
    links: &mut links::Budgets,
    broken_invariants: &mut u32,
) -> plan::ServicePlan {
    let trust = capacity::Trust::update(inputs);
    let estimates = demand::estimate(inputs);
    let demand = estimates.iter().copied().map(demand::forecast).collect();
    let capacity = capacity::Capacity::of(inputs, &trust);
    let cached = flows::Flows::cached(inputs, &demand);
    let mut planned = fill::fill(inputs, links, &capacity, &demand, &cached);
    *broken_invariants += check::enforce(inputs, &capacity, &cached, &mut planned);
    let mut plan = plan::ServicePlan {
        sources: planned.into_sources(inputs, &demand),
        trusted_permille: trust.trusted_permille,
        applied_sequence: trust.applied_sequence,
        estimates: inputs.by_zone(estimates),
        reported: capacity::reported(inputs),
        ..plan::ServicePlan::default()
    };
    plan.record_shares(inputs.previous, inputs.now, inputs.settings.lookup_ttl);
    plan
}
