//! Estimates the demand of every source zone.

use damaskvane_core::ids;

use crate::plan::Estimate;
use crate::planner::inputs::Inputs;
use crate::{rate, staleness};

/// The demand of every source zone, by index.
pub(super) type Demand = Vec<rate::Rate>;

/// A change below this part of the estimate may be chance, in thousandths.
const CHANCE_PERMILLE: i64 = 150;

/// How many standard deviations of counted arrivals may be chance.
const CHANCE_DEVIATIONS: u64 = 3;

/// How much of a change that may be chance the estimate takes over in one step, in thousandths.
const SMALL_GAIN_PERMILLE: i64 = 200;

/// How much of it the trend takes over.
const TREND_GAIN_PERMILLE: i64 = 10;

/// How much of a larger change it takes over.
const LARGE_GAIN_PERMILLE: i64 = 500;

/// The demand is estimated for so many steps ahead: what reports and caches take to follow.
const AHEAD_STEPS: i64 = 4;

/// How much an estimate may fall in one step while some zone is not heard, in thousandths.
const UNHEARD_DECAY_PERMILLE: i64 = 10;

/// A source is planned for at least this demand, so that its first clients find weights.
const LEAST: rate::Rate = rate::Rate::per_second(1);

/// Demand of one source above this multiple of all declared capacity is taken for a false report.
const ABSURD_MULTIPLE: u64 = 4;

pub(super) fn estimate(inputs: &Inputs<'_>) -> Vec<Estimate> {
    let zones = &inputs.geometry.zones;
    let all_heard = !zones.iter().any(|zone| may_carry_unseen(inputs, zone));
    let estimates = zones.iter().map(|zone| of_source(inputs, zone, all_heard));
    estimates.collect()
}

/// Whether a zone may carry demand that no fresh report shows.
///
/// One that is out of reach and whose last report is gone carries nothing for those in reach.
fn may_carry_unseen(inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId) -> bool {
    match inputs.decision(zone) {
        staleness::Decision::Measured => false,
        staleness::Decision::Hold | staleness::Decision::StaticShare => true,
        staleness::Decision::Exclude => {
            inputs.view.age(zone, inputs.settings.limits, inputs.now) != staleness::Age::Expired
        }
    }
}

fn of_source(inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId, all_heard: bool) -> Estimate {
    let measured = to_signed(measured(inputs, zone));
    let before = inputs
        .previous
        .and_then(|plan| plan.estimates.get(zone).copied());
    let Some(before) = before else {
        return Estimate {
            level_milli: measured,
            trend_milli: 0,
            change_milli: 0,
        };
    };
    let expected = before.level_milli + before.trend_milli;
    let change_milli = measured - expected;
    if change_milli < 0 && !all_heard {
        // What a silent zone carried is missing from the sum. Were the estimate to follow it down,
        // the clients of a lost region would count as gone just when they need a place.
        let decay = before.level_milli * UNHEARD_DECAY_PERMILLE / 1_000;
        return Estimate {
            level_milli: before.level_milli + change_milli.max(-decay),
            trend_milli: 0,
            change_milli,
        };
    }
    let chance = chance_milli(expected);
    if change_milli.abs() > chance {
        let shown = confirmed(change_milli, before.change_milli, chance);
        let step = shown.min(most_rise_milli(inputs, zone, expected));
        return Estimate {
            level_milli: expected + step * LARGE_GAIN_PERMILLE / 1_000,
            trend_milli: 0,
            change_milli,
        };
    }
    Estimate {
        level_milli: expected + change_milli * SMALL_GAIN_PERMILLE / 1_000,
        trend_milli: before.trend_milli + change_milli * TREND_GAIN_PERMILLE / 1_000,
        change_milli,
    }
}

/// The part of a large change that the step before showed as well, or what may be chance.
///
/// A single absurd report, or one under another zone's name, would otherwise multiply or halve the
/// demand for seconds, and clients would be refused with capacity free.
fn confirmed(change_milli: i64, before_milli: i64, chance_milli: i64) -> i64 {
    let same_way = change_milli.signum() == before_milli.signum();
    let shown = if same_way { before_milli.abs() } else { 0 };
    change_milli.signum() * change_milli.abs().min(shown.max(chance_milli))
}

/// The most that an estimate may be shown to rise in one step: half of itself, or a tenth of what its
/// own zone carries where it is small.
fn most_rise_milli(
    inputs: &Inputs<'_>,
    zone: &ids::AvailabilityZoneId,
    expected_milli: i64,
) -> i64 {
    let tenth = to_signed(inputs.service.capacity(zone)) / 10;
    (expected_milli / 2).max(tenth) * 1_000 / LARGE_GAIN_PERMILLE
}

/// How far one second's count may be from its mean: counts deviate by the root of their mean.
fn chance_milli(expected_milli: i64) -> i64 {
    let mean = expected_milli.max(0).unsigned_abs() / 1_000;
    let deviation = to_signed(rate::Rate::per_second(mean.isqrt() * CHANCE_DEVIATIONS));
    deviation.max(expected_milli * CHANCE_PERMILLE / 1_000)
}

fn to_signed(rate: rate::Rate) -> i64 {
    i64::try_from(rate.milli()).unwrap_or(i64::MAX)
}

/// The demand to plan for: the level, a few steps ahead along the trend.
pub(super) fn ahead(estimate: Estimate) -> rate::Rate {
    let ahead = estimate.level_milli + estimate.trend_milli * AHEAD_STEPS;
    rate::Rate::from_milli(ahead.max(0).unsigned_abs()).max(LEAST)
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
    let lookups = || reports.iter().filter_map(|report| report.lookups.get(zone));
    let answered: rate::Rate = lookups().map(|lookups| lookups.answered).sum();
    let refused: rate::Rate = lookups().map(|lookups| lookups.refused).sum();
    let offered = if answered > rate::Rate::ZERO {
        arrived.scaled((answered + refused).milli(), answered.milli())
    } else {
        arrived + refused
    };
    let zones = inputs.geometry.zones.iter();
    let declared: rate::Rate = zones.map(|zone| inputs.service.capacity(zone)).sum();
    offered.min(declared.scaled(ABSURD_MULTIPLE, 1))
}
