//! Asserts that no destination is promised more than its capacity.

use damaskvane_core::ids;

use crate::planner::Inputs;
use crate::planner::capacity::Capacity;
use crate::planner::demand::Demand;
use crate::planner::fill::Flows;
use crate::rate;

/// Cuts every promise that breaks the capacity of its destination and counts the cuts.
///
/// The filling keeps within capacity by construction. Should a later change break that, a zone would
/// be sent more than it can carry by all instances at once, which shows as refusals in a zone while
/// others are free. The promise is cut instead, counted, and a run under test aborts.
pub(super) fn enforce(
    inputs: &Inputs<'_>,
    capacity: &Capacity<'_>,
    demand: &Demand<'_>,
    flows: &mut Flows<'_>,
) -> u32 {
    let mut broken = 0;
    for destination in &inputs.zones {
        let limit = capacity.limit(destination);
        let planned = planned(flows, destination);
        let cached = cached(inputs, demand, destination);
        let rising = rising(inputs, demand, flows, destination);
        let within_capacity = planned <= limit.usable;
        let within_cached = rising == rate::Rate::ZERO || cached + rising <= limit.usable;
        debug_assert!(
            within_capacity,
            "{destination} is promised {planned} over {limit:?}"
        );
        debug_assert!(
            within_cached,
            "{destination}: cached {cached}, rising {rising}, {limit:?}"
        );
        if !within_capacity || !within_cached {
            broken += 1;
            flows.flows.retain(|(_, to), _| to != destination);
        }
    }
    broken
}

fn planned(flows: &Flows<'_>, destination: &ids::AvailabilityZoneId) -> rate::Rate {
    let flows = flows.flows.iter().filter(|((_, to), _)| *to == destination);
    flows.map(|(_, flow)| *flow).sum()
}

fn cached_from(
    inputs: &Inputs<'_>,
    demand: rate::Rate,
    source: &ids::AvailabilityZoneId,
    destination: &ids::AvailabilityZoneId,
) -> rate::Rate {
    let previous = inputs.previous;
    demand.ppm(previous.map_or(0, |plan| plan.cached_ppm(source, destination)))
}

fn cached(
    inputs: &Inputs<'_>,
    demand: &Demand<'_>,
    destination: &ids::AvailabilityZoneId,
) -> rate::Rate {
    let sources = demand.iter();
    sources
        .map(|(source, demand)| cached_from(inputs, *demand, source, destination))
        .sum()
}

/// The sum of what each source is promised above what its clients may still send from caches.
fn rising(
    inputs: &Inputs<'_>,
    demand: &Demand<'_>,
    flows: &Flows<'_>,
    destination: &ids::AvailabilityZoneId,
) -> rate::Rate {
    let flows = flows.flows.iter().filter(|((_, to), _)| *to == destination);
    let rises = flows.map(|((source, _), flow)| {
        let demand = demand.get(source).copied().unwrap_or_default();
        flow.saturating_sub(cached_from(inputs, demand, source, destination))
    });
    rises.sum()
}
