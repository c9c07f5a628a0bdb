//! How much each destination zone may be promised.

use std::collections::BTreeMap;

use damaskvane_core::ids;

use crate::planner::inputs::Inputs;
use crate::{digest, plan, rate, staleness};

/// A report of less than this part of the declared capacity needs evidence, in thousandths.
const BELIEVED_PERMILLE: u32 = 250;

/// Overload without refusals cuts the trusted part of a zone to this part of itself, in thousandths.
const MILDEST_CUT_PERMILLE: u32 = 950;

/// Refusals cut it to the part that was carried, but to no less than this at once, in thousandths.
const TRUST_CUT_PERMILLE: u32 = 850;

/// Trust never falls below this, in thousandths, so that recovery can show.
const LEAST_TRUST_PERMILLE: u32 = 250;

/// Trust regained with each report that shows no overload, in thousandths.
const TRUST_GAIN_PERMILLE: u32 = 30;

/// The trusted part of each zone's capacity after what its reports showed.
pub(super) struct Trust {
    pub(super) trusted_permille: BTreeMap<ids::AvailabilityZoneId, u32>,
    pub(super) judged_sequence: BTreeMap<ids::AvailabilityZoneId, u64>,
}

/// What a destination zone may be promised.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limit {
    /// How the report of the zone is used.
    pub(super) decision: staleness::Decision,
    /// What the zone can carry.
    pub(super) capacity: rate::Rate,
    /// The most that steering promises, below the capacity.
    pub(super) usable: rate::Rate,
}

/// The limits of every destination zone, by index.
pub(super) struct Capacity {
    pub(super) limits: Vec<Limit>,
}

impl Trust {
    /// Cuts trust where a new report shows overload and regains it slowly where it shows none.
    ///
    /// Each report is judged once: a frozen one would otherwise cut trust, or regain it, with every
    /// plan made.
    pub(super) fn judge(inputs: &Inputs<'_>) -> Self {
        let mut trust = Self {
            trusted_permille: BTreeMap::new(),
            judged_sequence: BTreeMap::new(),
        };
        for zone in &inputs.geometry.zones {
            trust.judge_zone(inputs, zone);
        }
        trust
    }

    fn judge_zone(&mut self, inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId) {
        let before = inputs
            .previous
            .map_or(1_000, |plan| plan.trusted_permille(zone));
        let judged = inputs
            .previous
            .and_then(|plan| plan.judged_sequence.get(zone));
        let digest = inputs.view.digest(zone);
        let news = digest.filter(|digest| judged != Some(&digest.sequence));
        let report = news.and_then(|digest| digest.services.get(inputs.id));
        let after = report.map_or(before, |report| adjust(before, report));
        if after < 1_000 {
            self.trusted_permille.insert((*zone).clone(), after);
        }
        if let Some(digest) = digest {
            self.judged_sequence
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
    let cut_permille = carried_permille.clamp(TRUST_CUT_PERMILLE, MILDEST_CUT_PERMILLE);
    let cut = trusted_permille * cut_permille / 1_000;
    cut.max(LEAST_TRUST_PERMILLE)
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
            believed(inputs, zone, declared)
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

/// The reported capacity, at most the declared one, and hardly less without evidence.
///
/// A false report of no capacity would empty a healthy zone on to its neighbours, and such reports
/// from all zones would refuse everyone. One would notice refusals without a single failure. Without
/// evidence a fall therefore counts only when two reports in a row show it, and then down to a part.
fn believed(
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
    let reported = last_two(inputs, zone);
    let larger = reported.map_or(report.capacity, |two| two.last.max(two.before));
    larger
        .min(declared)
        .max(declared.permille(BELIEVED_PERMILLE))
}

/// The last two capacities that a zone reported, the one at hand included.
fn last_two(inputs: &Inputs<'_>, zone: &ids::AvailabilityZoneId) -> Option<plan::Reported> {
    let sequence = inputs.view.digest(zone)?.sequence;
    let last = inputs.report(zone)?.capacity;
    let held = inputs
        .previous
        .and_then(|plan| plan.reported.get(zone).copied());
    match held {
        Some(held) if held.sequence == sequence => Some(held),
        Some(held) => Some(plan::Reported {
            sequence,
            last,
            before: held.last,
        }),
        None => Some(plan::Reported {
            sequence,
            last,
            before: last,
        }),
    }
}

/// What the next plan needs to know of the capacities that the zones reported.
pub(super) fn reported(inputs: &Inputs<'_>) -> BTreeMap<ids::AvailabilityZoneId, plan::Reported> {
    let zones = inputs.geometry.zones.iter();
    let reported = zones.filter_map(|zone| Some(((*zone).clone(), last_two(inputs, zone)?)));
    reported.collect()
}
