//! How much each destination zone may be promised.

use std::collections::BTreeMap;

use damaskvane_core::ids;

use crate::planner::inputs::Inputs;
use crate::{digest, rate, staleness};

/// A report of less than this part of the declared capacity needs evidence, in thousandths.
const BELIEVED_PERMILLE: u32 = 250;

/// Overload cuts the trusted part of a zone to this part of itself, in thousandths.
const TRUST_CUT_PERMILLE: u32 = 850;

/// Trust never falls below this, in thousandths, so that recovery can show.
const LEAST_TRUST_PERMILLE: u32 = 250;

/// Trust regained with each report that shows no overload, in thousandths.
const TRUST_GAIN_PERMILLE: u32 = 20;

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
    if report.shows_overload() {
        let cut = trusted_permille * TRUST_CUT_PERMILLE / 1_000;
        cut.max(LEAST_TRUST_PERMILLE)
    } else {
        (trusted_permille + TRUST_GAIN_PERMILLE).min(1_000)
    }
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
    let usable = capacity.permille(inputs.settings.usable_permille);
    Limit {
        decision,
        capacity,
        usable: usable.permille(trusted_permille),
    }
}

/// The reported capacity, at most the declared one, and hardly less without evidence.
///
/// A false report of no capacity would empty a healthy zone on to its neighbours, and such reports
/// from all zones would refuse everyone. One would notice refusals without a single failure.
fn believed(
    inputs: &Inputs<'_>,
    zone: &ids::AvailabilityZoneId,
    declared: rate::Rate,
) -> rate::Rate {
    let Some(report) = inputs.report(zone) else {
        return declared;
    };
    let reported = report.capacity.min(declared);
    if report.shows_overload() {
        reported
    } else {
        reported.max(declared.permille(BELIEVED_PERMILLE))
    }
}
