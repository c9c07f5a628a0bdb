//! Flows from sources to destinations.

use std::collections::BTreeMap;

use damaskvane_core::ids;

use crate::planner::demand::Demand;
use crate::planner::inputs::Inputs;
use crate::planner::matrix::Matrix;
use crate::{plan, rate};

/// Flows from sources to destinations, by index.
#[derive(Debug, Clone)]
pub(super) struct Flows {
    pub(super) flows: Matrix<rate::Rate>,
}

impl Flows {
    pub(super) fn none(inputs: &Inputs<'_>) -> Self {
        Self {
            flows: Matrix::new(inputs.zone_count()),
        }
    }

    /// What the clients of each source may still send from their caches.
    pub(super) fn cached(inputs: &Inputs<'_>, demand: &Demand) -> Self {
        let cached_ppm = inputs.cached_ppm();
        let mut cached = Self::none(inputs);
        for (source, demand) in demand.iter().enumerate() {
            for destination in 0..inputs.zone_count() {
                let flow = demand.ppm(cached_ppm.at(source, destination));
                *cached.flows.at_mut(source, destination) = flow;
            }
        }
        cached
    }

    /// Everything that goes to a destination.
    pub(super) fn sum_to(&self, destination: usize) -> rate::Rate {
        self.flows.to(destination).sum()
    }

    /// What the sources send to a destination above what they have in `cached`.
    pub(super) fn rise_to(&self, destination: usize, cached: &Self) -> rate::Rate {
        let pairs = self.flows.to(destination).zip(cached.flows.to(destination));
        pairs
            .map(|(flow, cached)| flow.saturating_sub(cached))
            .sum()
    }

    /// Turns flows into shares of each source's demand.
    pub(super) fn into_sources(
        self,
        inputs: &Inputs<'_>,
        demand: &Demand,
    ) -> BTreeMap<ids::AvailabilityZoneId, plan::SourcePlan> {
        let zones = &inputs.geometry.zones;
        let planned = demand.iter().enumerate().map(|(source, demand)| {
            let shares = zones.iter().zip(self.flows.from(source));
            let shares = shares.map(|(zone, flow)| plan::Share {
                zone: (*zone).clone(),
                share_ppm: flow.share_of(*demand),
            });
            let mut shares: Vec<_> = shares.filter(|share| share.share_ppm > 0).collect();
            let topology = inputs.geometry.topology;
            shares.sort_by_key(|share| topology.latency_ms(zones[source], &share.zone));
            let plan = plan::SourcePlan {
                demand: *demand,
                shares,
                retry_after: inputs.settings.retry_after,
            };
            (zones[source].clone(), plan)
        });
        planned.collect()
    }
}
