//! Demand estimate of every source zone: the rate of requests of the clients nearest to the zone.
//!
//! A step is the computation of one plan. The level is the estimated demand, and the trend is the
//! rise of the level per step. A change is the measured demand minus the sum of level and trend.

use damaskvane_core::ids;

use crate::plan::Estimate;
use crate::planner::inputs::Inputs;
use crate::{rate, staleness};

/// Demand of all source zones, by zone index.
pub(super) type Demand = Vec<rate::Rate>;

/// Relative size of a change that is treated as noise, in thousandths of the estimate.
const NOISE_PERMILLE: i64 = 150;

/// Size of a change that is treated as noise, in standard deviations of the counted requests.
const NOISE_DEVIATIONS: u64 = 3;

/// Part of a change within the noise that is added to the level in one step, in thousandths.
const NOISE_GAIN_PERMILLE: i64 = 200;

/// Part of a change within the noise that is added to the trend in one step, in thousandths.
const TREND_GAIN_PERMILLE: i64 = 10;

/// Part of a change beyond the noise that is added to the level in one step, in thousandths.
const CHANGE_GAIN_PERMILLE: i64 = 500;

/// Number of steps that the demand is forecast ahead: the time until reports and client caches
/// follow a change.
const FORECAST_STEPS: i64 = 4;

/// Maximum drop of an estimate in one step while the report of some zone is missing, in thousandths
/// of the estimate.
const UNREPORTED_DECAY_PERMILLE: i64 = 10;

/// Minimum demand planned for a source zone, so that the plan has weights for the first clients of
/// a zone without demand.
const MIN_DEMAND: rate::Rate = rate::Rate::per_second(1);

/// Upper bound for the demand of one source zone, as a multiple of the declared capacity of all
/// zones. A larger measured demand is treated as a false report and limited to this bound.
const MAX_DEMAND_MULTIPLE: u64 = 4;

pub(super) fn estimate(inputs: &Inputs<'_>) -> Vec<Estimate> {
    let zones = &inputs.geometry.zones;
    let all_reported = !zones
        .iter()
        .any(|zone| may_have_unreported_demand(inputs, zone));
    let estimates = zones
        .iter()
        .map(|zone| estimate_source(inputs, zone, all_reported));
    estimates.collect()
}

/// Returns whether a zone may carry demand that no fresh report shows.
///
/// An unreachable zone whose last report has expired is taken to carry no traffic for the reachable
/// zones.
fn may_have_unreported_demand(inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId) -> bool {
    match inputs.decision(zone) {
        staleness::Decision::Measured => false,
        staleness::Decision::Hold | staleness::Decision::StaticShare => true,
        staleness::Decision::Exclude => {
            inputs.view.age(zone, inputs.settings.limits, inputs.now) != staleness::Age::Expired
        }
    }
}

fn estimate_source(
    inputs: &Inputs<'_>,
    zone: &ids::AvailabilityZoneId,
    all_reported: bool,
) -> Estimate {
    let measured = to_signed(measured(inputs, zone));
    let previous = inputs
        .previous
        .and_then(|plan| plan.estimates.get(zone).copied());
    let Some(previous) = previous else {
        return Estimate {
            level_milli: measured,
            trend_milli: 0,
            residual_milli: 0,
        };
    };
    let expected = previous.level_milli + previous.trend_milli;
    let residual_milli = measured - expected;
    if residual_milli < 0 && !all_reported {
        // The measured demand lacks the part in the zone without a report. If the estimate followed
        // it, the clients of a lost region would not be counted just when they need capacity
        // elsewhere.
        let decay = previous.level_milli * UNREPORTED_DECAY_PERMILLE / 1_000;
        return Estimate {
            level_milli: previous.level_milli + residual_milli.max(-decay),
            trend_milli: 0,
            residual_milli,
        };
    }
    let noise = noise_milli(expected);
    if residual_milli.abs() > noise {
        let confirmed = confirmed_change(residual_milli, previous.residual_milli, noise);
        let step = confirmed.min(max_rise_milli(inputs, zone, expected));
        return Estimate {
            level_milli: expected + step * CHANGE_GAIN_PERMILLE / 1_000,
            trend_milli: 0,
            residual_milli,
        };
    }
    Estimate {
        level_milli: expected + residual_milli * NOISE_GAIN_PERMILLE / 1_000,
        trend_milli: previous.trend_milli + residual_milli * TREND_GAIN_PERMILLE / 1_000,
        residual_milli,
    }
}

/// Limits a change beyond the noise to the size of the previous step's change in the same
/// direction, but to no less than the noise.
///
/// Without this limit, a single false report, or a report under another zone's name, would multiply
/// or halve the demand for seconds, and clients would be refused while capacity is free.
fn confirmed_change(residual_milli: i64, previous_milli: i64, noise_milli: i64) -> i64 {
    let same_direction = residual_milli.signum() == previous_milli.signum();
    let confirmed = if same_direction {
        previous_milli.abs()
    } else {
        0
    };
    residual_milli.signum() * residual_milli.abs().min(confirmed.max(noise_milli))
}

/// Returns the maximum rise of an estimate before [`CHANGE_GAIN_PERMILLE`] is applied.
///
/// After the gain, an estimate rises in one step by at most half of itself or a tenth of the source
/// zone's own capacity, whichever is larger.
fn max_rise_milli(inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId, expected_milli: i64) -> i64 {
    let tenth = to_signed(inputs.service.capacity(zone)) / 10;
    (expected_milli / 2).max(tenth) * 1_000 / CHANGE_GAIN_PERMILLE
}

/// Returns how far a count over one second may deviate from its mean by chance.
///
/// The standard deviation of a count is the square root of its mean.
fn noise_milli(expected_milli: i64) -> i64 {
    let mean = expected_milli.max(0).unsigned_abs() / 1_000;
    let deviation = to_signed(rate::Rate::per_second(mean.isqrt() * NOISE_DEVIATIONS));
    deviation.max(expected_milli * NOISE_PERMILLE / 1_000)
}

fn to_signed(rate: rate::Rate) -> i64 {
    i64::try_from(rate.milli()).unwrap_or(i64::MAX)
}

/// Returns the demand to plan for: the level, extrapolated along the trend by [`FORECAST_STEPS`]
/// steps.
pub(super) fn forecast(estimate: Estimate) -> rate::Rate {
    let forecast = estimate.level_milli + estimate.trend_milli * FORECAST_STEPS;
    rate::Rate::from_milli(forecast.max(0).unsigned_abs()).max(MIN_DEMAND)
}

fn measured(inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId) -> rate::Rate {
    // The last report of an unreachable zone includes clients that other zones count by now. If
    // both counted, the demand of a lost region would appear doubled.
    let excluded = staleness::Decision::Exclude;
    let digests = inputs.view.digests();
    let reachable = digests.filter(|digest| inputs.decision(&digest.zone) != excluded);
    let reports = reachable.filter_map(|digest| digest.services.get(inputs.id));
    let reports: Vec<_> = reports.collect();
    let arrived: rate::Rate = reports
        .iter()
        .filter_map(|report| report.demand.get(zone).copied())
        .sum();
    // Clients refused at lookup arrive at no zone. Without them, demand would appear to fall by the
    // refused part and rise again once they are admitted. The refused part is taken from counters,
    // since the planned part takes effect only after cached lookup results expire.
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
    offered.min(declared.scaled(MAX_DEMAND_MULTIPLE, 1))
}
