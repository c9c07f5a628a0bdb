//! Estimates the demand of every source zone.

use damaskvane_core::ids;

use crate::planner::inputs::Inputs;
use crate::{rate, staleness};

/// The demand of every source zone, by index.
pub(super) type Demand = Vec<rate::Rate>;

/// A change below this part of the estimate may be chance, in thousandths.
const CHANCE_PERMILLE: u32 = 250;

/// How much of a change that may be chance the estimate takes over in one step, in thousandths.
const SMALL_GAIN_PERMILLE: u32 = 300;

/// How much of a larger change it takes over.
const LARGE_GAIN_PERMILLE: u32 = 500;

/// How much an estimate may fall in one step while some zone is not heard, in thousandths.
const UNHEARD_DECAY_PERMILLE: u32 = 10;

/// A source is planned for at least this demand, so that its first clients find weights.
const LEAST: rate::Rate = rate::Rate::per_second(1);

/// Demand of one source above this multiple of all declared capacity is taken for a false report.
const ABSURD_MULTIPLE: u64 = 4;

pub(super) fn estimate(inputs: &Inputs<'_>) -> Demand {
    let zones = &inputs.geometry.zones;
    let all_heard = !zones.iter().any(|zone| may_carry_unseen(inputs, zone));
    zones
        .iter()
        .map(|zone| of_source(inputs, zone, all_heard))
        .collect()
}

/// Whether a zone may carry demand that no fresh report shows.
///
/// One that is out of reach and whose last report is gone carries nothing for those in reach.
fn may_carry_unseen(inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId) -> bool {
    match inputs.decision(zone) {
        staleness::Decision::Measured => false,
        staleness::Decision::Hold | staleness::Decision::StaticShare => true,
        staleness::Decision::Exclude => {
            inputs.view.age(zone, inputs.settings.limits, inputs.now) != staleness::Age::Gone
        }
    }
}

fn of_source(inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId, all_heard: bool) -> rate::Rate {
    let previous = inputs.previous.and_then(|plan| plan.sources.get(zone));
    let measured = measured(inputs, zone);
    let Some(before) = previous.map(|source| source.demand) else {
        return measured.max(LEAST);
    };
    let change = measured.max(before).saturating_sub(measured.min(before));
    let gain_permille = if change <= before.permille(CHANCE_PERMILLE) {
        SMALL_GAIN_PERMILLE
    } else {
        LARGE_GAIN_PERMILLE
    };
    let step = change.permille(gain_permille);
    let next = if measured >= before {
        before + step
    } else if all_heard {
        before.saturating_sub(step)
    } else {
        // What a silent zone carried is missing from the sum. Were the estimate to follow it down,
        // the clients of a lost region would count as gone just when they need a place.
        before.saturating_sub(step.min(before.permille(UNHEARD_DECAY_PERMILLE)))
    };
    next.max(LEAST)
}

fn measured(inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId) -> rate::Rate {
    // The last report of a lost zone shows clients that are by now counted where they went; with
    // both, the demand of a lost region would seem to double.
    let excluded = staleness::Decision::Exclude;
    let digests = inputs.view.digests();
    let heard = digests.filter(|digest| inputs.decision(&digest.zone) != excluded);
    let reports = heard.filter_map(|digest| digest.services.get(inputs.id));
    let reports: Vec<_> = reports.collect();
    let arrived: rate::Rate = reports
        .iter()
        .filter_map(|report| report.demand.get(zone).copied())
        .sum();
    // Clients refused at the look-up arrive nowhere; without them, demand would seem to fall by
    // what was refused, and rise again once they are let in. The part is counted, since the part
    // that was planned is in force only after answers have left the caches.
    let look_ups = || {
        reports
            .iter()
            .filter_map(|report| report.look_ups.get(zone))
    };
    let answered: rate::Rate = look_ups().map(|look_ups| look_ups.answered).sum();
    let refused: rate::Rate = look_ups().map(|look_ups| look_ups.refused).sum();
    let offered = if answered > rate::Rate::ZERO {
        arrived.scaled((answered + refused).milli(), answered.milli())
    } else {
        arrived + refused
    };
    let zones = inputs.geometry.zones.iter();
    let declared: rate::Rate = zones.map(|zone| inputs.service.capacity(zone)).sum();
    offered.min(declared.scaled(ABSURD_MULTIPLE, 1))
}
