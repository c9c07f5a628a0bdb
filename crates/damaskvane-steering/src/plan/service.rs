//! The plan of one service, with what the next plan needs to know of the last ones.
//!
//! ```
//! use damaskvane_steering::plan;
//!
//! assert!(plan::ServicePlan::default().sources.is_empty());
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::plan::WHOLE_PPM;
use crate::plan::source::SourcePlan;
use crate::rate;

type Shares = BTreeMap<(ids::AvailabilityZoneId, ids::AvailabilityZoneId), u32>;

/// The last two capacities that a zone reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reported {
    /// The sequence of the later report.
    pub(crate) sequence: u64,
    /// The capacity in it.
    pub(crate) last: rate::Rate,
    /// The capacity in the report before it.
    pub(crate) before: rate::Rate,
}

/// An estimate of demand with its trend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Estimate {
    /// The demand now, in thousandths of a request a second.
    pub(crate) level_milli: i64,
    /// By how much it rises in a step.
    pub(crate) trend_milli: i64,
    /// How far the last count was from what was expected.
    pub(crate) change_milli: i64,
}

/// The plan of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServicePlan {
    /// The plan for each source zone.
    pub sources: BTreeMap<ids::AvailabilityZoneId, SourcePlan>,
    /// The part of a zone's capacity that is trusted after overload, in thousandths; absent is all.
    pub trusted_permille: BTreeMap<ids::AvailabilityZoneId, u32>,
    /// The sequence of the report that last changed the trust in a zone.
    pub judged_sequence: BTreeMap<ids::AvailabilityZoneId, u64>,
    /// The last two capacities that each zone reported, the later one first, with its sequence.
    pub(crate) reported: BTreeMap<ids::AvailabilityZoneId, Reported>,
    /// The estimate of each source's demand, for the next plan.
    pub(crate) estimates: BTreeMap<ids::AvailabilityZoneId, Estimate>,
    /// Shares that clients may still hold in their caches, with the time of the last answer.
    pub(crate) answered: Vec<(time::TimeMs, Shares)>,
}

impl ServicePlan {
    /// The trusted part of a zone's capacity, in thousandths.
    #[must_use]
    pub fn trusted_permille(&self, zone: &ids::AvailabilityZoneId) -> u32 {
        self.trusted_permille.get(zone).copied().unwrap_or(1_000)
    }

    /// The largest part of a source's clients that may still use a destination from their caches.
    #[must_use]
    pub fn cached_ppm(
        &self,
        source: &ids::AvailabilityZoneId,
        destination: &ids::AvailabilityZoneId,
    ) -> u32 {
        let pair = (source.clone(), destination.clone());
        let shares = self.answered.iter();
        let cached = shares.filter_map(|(_, shares)| shares.get(&pair)).max();
        cached.copied().unwrap_or(0).min(WHOLE_PPM)
    }

    /// All parts of sources that clients may still use from their caches; a pair may come twice.
    pub(crate) fn cached(
        &self,
    ) -> impl Iterator<Item = (&ids::AvailabilityZoneId, &ids::AvailabilityZoneId, u32)> {
        let shares = self.answered.iter().flat_map(|(_, shares)| shares);
        shares.map(|((source, destination), share_ppm)| (source, destination, *share_ppm))
    }

    /// Whether any earlier plan can still be in a cache.
    #[must_use]
    pub fn has_history(&self) -> bool {
        !self.answered.is_empty()
    }

    /// Keeps the shares of `previous` that clients may still hold, and adds those of this plan.
    pub(crate) fn remember(
        &mut self,
        previous: Option<&Self>,
        now: time::TimeMs,
        lookup_ttl: time::SpanMs,
    ) {
        if let Some(previous) = previous {
            // Look-ups are answered from a plan until the next one is made, so a plan's answers
            // are out of the caches one TTL after its successor was made.
            let next_made = previous
                .answered
                .iter()
                .skip(1)
                .map(|(made_at, _)| *made_at);
            let next_made = next_made.chain([now]);
            let kept = previous.answered.iter().zip(next_made);
            let kept = kept.filter(|(_, next)| now.since(*next) < lookup_ttl);
            self.answered = kept.map(|(entry, _)| entry.clone()).collect();
        }
        self.answered.push((now, self.shares()));
    }

    fn shares(&self) -> Shares {
        let mut shares = Shares::new();
        for (source, plan) in &self.sources {
            for share in &plan.shares {
                shares.insert((source.clone(), share.zone.clone()), share.share_ppm);
            }
        }
        shares
    }
}
