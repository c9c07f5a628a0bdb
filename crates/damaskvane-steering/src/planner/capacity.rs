//! Limits on the traffic that each destination zone may be assigned.
//!
//! Trust is the part of a zone's capacity that the planner uses; reports of overload reduce the
//! trust.

use std::collections::BTreeMap;

use damaskvane_core::ids;

use crate::planner::inputs::Inputs;
use crate::{digest, plan, rate, staleness};

/// Lower bound for the capacity of a zone whose report shows no overload, in thousandths of the
/// declared capacity.
const MIN_UNCONFIRMED_PERMILLE: u32 = 250;

/// Upper bound of the factor that reduces a zone's trust on overload, in thousandths. Applies if a
/// report shows overload without refused requests.
const MAX_OVERLOAD_FACTOR_PERMILLE: u32 = 950;

/// Lower bound of the factor that reduces a zone's trust on overload, in thousandths. The factor is
/// the part of the arriving requests that was not refused.
const MIN_OVERLOAD_FACTOR_PERMILLE: u32 = 850;

/// Lowest trust in a zone, in thousandths. Above zero, so that the zone still receives traffic that
/// can show the zone's recovery.
const MIN_TRUST_PERMILLE: u32 = 250;

/// Trust regained with each report that shows no overload, in thousandths.
const TRUST_GAIN_PERMILLE: u32 = 30;

/// Trust in each zone's capacity, reduced by reports of overload.
pub(super) struct Trust {
    pub(super) trusted_permille: BTreeMap<ids::AvailabilityZoneId, u32>,
    pub(super) applied_sequence: BTreeMap<ids::AvailabilityZoneId, u64>,
}

/// Limit on the traffic that one destination zone may be assigned.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limit {
    /// How the planner uses the zone's latest report.
    pub(super) decision: staleness::Decision,
    /// Declared or reported capacity of the zone, before reserve and trust; zero for an excluded
    /// zone.
    pub(super) capacity: rate::Rate,
    /// Maximum flow that the planner assigns; at most the capacity.
    pub(super) usable: rate::Rate,
}

/// Limits of all destination zones, by zone index.
pub(super) struct Capacity {
    pub(super) limits: Vec<Limit>,
}

impl Trust {
    /// Reduces the trust in zones whose new report shows overload, and restores the trust in other
    /// zones step by step with their new reports.
    ///
    /// Each report is applied once. Otherwise a report that the zone does not renew would reduce or
    /// restore trust with every plan.
    pub(super) fn update(inputs: &Inputs<'_>) -> Self {
        let mut trust = Self {
            trusted_permille: BTreeMap::new(),
            applied_sequence: BTreeMap::new(),
        };
        for zone in &inputs.geometry.zones {
            trust.update_zone(inputs, zone);
        }
        trust
    }

    fn update_zone(&mut self, inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId) {
        let previous = inputs
            .previous
            .map_or(1_000, |plan| plan.trusted_permille(zone));
        let applied_sequence = inputs
            .previous
            .and_then(|plan| plan.applied_sequence.get(zone));
        let digest = inputs.view.digest(zone);
        let new_digest = digest.filter(|digest| applied_sequence != Some(&digest.sequence));
        let report = new_digest.and_then(|digest| digest.services.get(inputs.id));
        let after = report.map_or(previous, |report| adjust(previous, report));
        if after < 1_000 {
            self.trusted_permille.insert((*zone).clone(), after);
        }
        if let Some(digest) = digest {
            self.applied_sequence
                .insert((*zone).clone(), digest.sequence);
        }
    }
}

fn adjust(trusted_permille: u32, report: &digest::ServiceDigest) -> u32 {
    if !report.shows_overload() {
        return (trusted_permille + TRUST_GAIN_PERMILLE).min(1_000);
    }
    let refused_ppm = report.refused.share_of(report.arrivals());
    let carried_permille = 1_000 - refused_ppm / 1_000;
    let factor_permille =
        carried_permille.clamp(MIN_OVERLOAD_FACTOR_PERMILLE, MAX_OVERLOAD_FACTOR_PERMILLE);
    let reduced = trusted_permille * factor_permille / 1_000;
    reduced.max(MIN_TRUST_PERMILLE)
}

impl Capacity {
    pub(super) fn of(inputs: &Inputs<'_>, trust: &Trust) -> Self {
        let zones = inputs.geometry.zones.iter();
        let limits = zones.map(|zone| limit(inputs, trust, zone)).collect();
        Self { limits }
    }

    pub(super) fn usable_sum(&self) -> rate::Rate {
        self.limits.iter().map(|limit| limit.usable).sum()
    }

    pub(super) fn any_excluded(&self) -> bool {
        let excluded = staleness::Decision::Exclude;
        self.limits.iter().any(|limit| limit.decision == excluded)
    }
}

fn limit(inputs: &Inputs<'_>, trust: &Trust, zone: &ids::AvailabilityZoneId) -> Limit {
    let decision = inputs.decision(zone);
    let declared = inputs.service.capacity(zone);
    let capacity = match decision {
        staleness::Decision::Exclude => rate::Rate::ZERO,
        staleness::Decision::StaticShare => declared,
        staleness::Decision::Measured | staleness::Decision::Hold => {
            accepted_capacity(inputs, zone, declared)
        }
    };
    let trusted_permille = trust.trusted_permille.get(zone).copied().unwrap_or(1_000);
    let usable = inputs.settings.usable(capacity);
    Limit {
        decision,
        capacity,
        usable: usable.permille(trusted_permille),
    }
}

/// Returns the reported capacity, limited above by the declared capacity and, unless the report
/// shows overload, below by [`MIN_UNCONFIRMED_PERMILLE`] of the declared capacity.
///
/// A false report of zero capacity would push a healthy zone's traffic onto its neighbors, and such
/// reports from all zones would cause every client to be refused although no request fails. A drop
/// without overload therefore takes effect only after two consecutive reports show it, and never
/// below [`MIN_UNCONFIRMED_PERMILLE`].
fn accepted_capacity(
    inputs: &Inputs<'_>,
    zone: &ids::AvailabilityZoneId,
    declared: rate::Rate,
) -> rate::Rate {
    let Some(report) = inputs.report(zone) else {
        return declared;
    };
    if report.shows_overload() {
        return report.capacity.min(declared);
    }
    let reported = last_two_capacities(inputs, zone);
    let larger = reported.map_or(report.capacity, |reported| {
        reported.last.max(reported.previous)
    });
    larger
        .min(declared)
        .max(declared.permille(MIN_UNCONFIRMED_PERMILLE))
}

/// Returns the last two capacities that a zone reported, including the current report.
fn last_two_capacities(
    inputs: &Inputs<'_>,
    zone: &ids::AvailabilityZoneId,
) -> Option<plan::ReportedCapacity> {
    let sequence = inputs.view.digest(zone)?.sequence;
    let last = inputs.report(zone)?.capacity;
    let stored = inputs
        .previous
        .and_then(|plan| plan.reported.get(zone).copied());
    match stored {
        Some(stored) if stored.sequence == sequence => Some(stored),
        Some(stored) => Some(plan::ReportedCapacity {
            sequence,
            last,
            previous: stored.last,
        }),
        None => Some(plan::ReportedCapacity {
            sequence,
            last,
            previous: last,
        }),
    }
}

/// Returns the last two reported capacities of each zone, which the next plan needs.
pub(super) fn reported(
    inputs: &Inputs<'_>,
) -> BTreeMap<ids::AvailabilityZoneId, plan::ReportedCapacity> {
    let zones = inputs.geometry.zones.iter();
    let reported =
        zones.filter_map(|zone| Some(((*zone).clone(), last_two_capacities(inputs, zone)?)));
    reported.collect()
}
