//! Estimates the demand of every source zone.

use damaskvane_core::ids;

use crate::planner::inputs::Inputs;
use crate::{plan, rate, staleness};

/// The demand of every source zone, by index.
pub(super) type Demand = Vec<rate::Rate>;

/// How much of a measured change the estimate takes over in one step, in thousandths.
const GAIN_PERMILLE: u32 = 300;

/// How much an estimate may fall in one step while some zone is not heard, in thousandths.
const UNHEARD_DECAY_PERMILLE: u32 = 10;

/// A source is planned for at least this demand, so that its first clients find weights.
const LEAST: rate::Rate = rate::Rate::per_second(1);

/// Demand of one source above this multiple of all declared capacity is taken for a false report.
const ABSURD_MULTIPLE: u64 = 4;

/// At least this part of a source counts as admitted when refused demand is worked out.
const LEAST_ADMITTED_PPM: u32 = 100_000;

pub(super) fn estimate(inputs: &Inputs<'_>) -> Demand {
    let zones = &inputs.geometry.zones;
    let is_heard =
        |zone: &ids::AvailabilityZoneId| inputs.decision(zone) == staleness::Decision::Measured;
    let all_heard = zones.iter().all(|zone| is_heard(zone));
    zones
        .iter()
        .map(|zone| of_source(inputs, zone, all_heard))
        .collect()
}

fn of_source(inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId, all_heard: bool) -> rate::Rate {
    let previous = inputs.previous.and_then(|plan| plan.sources.get(zone));
    let measured = measured(inputs, zone, previous);
    let Some(before) = previous.map(|source| source.demand) else {
        return measured.max(LEAST);
    };
    let next = if measured >= before {
        before + (measured.saturating_sub(before)).permille(GAIN_PERMILLE)
    } else if all_heard {
        before.saturating_sub(before.saturating_sub(measured).permille(GAIN_PERMILLE))
    } else {
        // What a silent zone carried is missing from the sum. Were the estimate to follow it down,
        // the clients of a lost region would count as gone just when they need a place.
        let slow = before.saturating_sub(before.permille(UNHEARD_DECAY_PERMILLE));
        slow.max(measured)
    };
    next.max(LEAST)
}

fn measured(
    inputs: &Inputs<'_>,
    zone: &ids::AvailabilityZoneId,
    previous: Option<&plan::SourcePlan>,
) -> rate::Rate {
    let reports = inputs
        .view
        .digests()
        .filter_map(|digest| digest.services.get(inputs.id));
    let arrived: rate::Rate = reports
        .filter_map(|report| report.demand.get(zone).copied())
        .sum();
    // Clients refused at the look-up arrive nowhere; without them, demand would seem to fall by
    // what was refused, and rise again once they are let in.
    let refused_ppm = previous.map_or(0, plan::SourcePlan::refused_ppm);
    let admitted_ppm = (plan::WHOLE_PPM - refused_ppm).max(LEAST_ADMITTED_PPM);
    let offered = arrived.scaled(u64::from(plan::WHOLE_PPM), u64::from(admitted_ppm));
    let zones = inputs.geometry.zones.iter();
    let declared: rate::Rate = zones.map(|zone| inputs.service.capacity(zone)).sum();
    offered.min(declared.scaled(ABSURD_MULTIPLE, 1))
}
