//! Flows (rates of requests) from source zones, nearest to the clients, to destination zones.

use std::collections::BTreeMap;

use damaskvane_core::ids;

use crate::planner::demand::Demand;
use crate::planner::inputs::Inputs;
use crate::planner::matrix::Matrix;
use crate::{plan, rate};

/// Matrix of flows from source zones to destination zones, by zone index.
#[derive(Debug, Clone)]
pub(super) struct Flows {
    pub(super) flows: Matrix<rate::Rate>,
}

impl Flows {
    pub(super) fn zero(inputs: &Inputs<'_>) -> Self {
        Self {
            flows: Matrix::new(inputs.zone_count()),
        }
    }

    /// Returns the traffic that clients of each source may still send because of cached lookup
    /// results.
    pub(super) fn cached(inputs: &Inputs<'_>, demand: &Demand) -> Self {
        let cached_ppm = inputs.cached_ppm();
        let mut cached = Self::zero(inputs);
        for (source, demand) in demand.iter().enumerate() {
            for destination in 0..inputs.zone_count() {
                let flow = demand.ppm(cached_ppm.at(source, destination));
                *cached.flows.at_mut(source, destination) = flow;
            }
        }
        cached
    }

    /// Returns the total flow to a destination.
    pub(super) fn sum_to(&self, destination: usize) -> rate::Rate {
        self.flows.to(destination).sum()
    }

    /// Returns by how much the flows to a destination exceed those in `cached`, summed over the
    /// sources.
    pub(super) fn rise_to(&self, destination: usize, cached: &Self) -> rate::Rate {
        let pairs = self.flows.to(destination).zip(cached.flows.to(destination));
        pairs
            .map(|(flow, cached)| flow.saturating_sub(cached))
            .sum()
    }

    /// Converts flows to shares of each source's demand, nearest destination first.
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
