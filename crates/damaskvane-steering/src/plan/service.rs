//! Plan of one service, with the state that the next plan is computed from.
//!
//! A source is the zone nearest to a client; a destination is a zone that runs the client's
//! requests. Trust is the part of a zone's reported capacity that the planner uses; overload
//! reduces the trust.
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
pub(crate) struct ReportedCapacity {
    /// Sequence number of the latest report.
    pub(crate) sequence: u64,
    /// Capacity in the latest report.
    pub(crate) last: rate::Rate,
    /// Capacity in the report before the latest.
    pub(crate) previous: rate::Rate,
}

/// Estimate of a source zone's demand with its trend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Estimate {
    /// Current demand, in thousandths of a request per second.
    pub(crate) level_milli: i64,
    /// Rise of the demand from one plan to the next, in thousandths of a request per second.
    pub(crate) trend_milli: i64,
    /// Deviation of the last measured demand from its forecast, in thousandths of a request per
    /// second.
    pub(crate) residual_milli: i64,
}

/// Plan of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServicePlan {
    /// Plan for the clients of each source zone.
    pub sources: BTreeMap<ids::AvailabilityZoneId, SourcePlan>,
    /// Trust in each zone's capacity after overload, in thousandths; an absent zone has full trust.
    pub trusted_permille: BTreeMap<ids::AvailabilityZoneId, u32>,
    /// Sequence number of each zone's last report that was used to update the trust.
    pub applied_sequence: BTreeMap<ids::AvailabilityZoneId, u64>,
    /// The last two capacities that each zone reported.
    pub(crate) reported: BTreeMap<ids::AvailabilityZoneId, ReportedCapacity>,
    /// Demand estimate of each source zone.
    pub(crate) estimates: BTreeMap<ids::AvailabilityZoneId, Estimate>,
    /// Shares that clients may still use because of cached lookup results, oldest first, with the
    /// time at which their plan was computed.
    pub(crate) cached_shares: Vec<(time::TimeMs, Shares)>,
}

impl ServicePlan {
    /// Returns the trust in a zone's capacity, in thousandths.
    #[must_use]
    pub fn trusted_permille(&self, zone: &ids::AvailabilityZoneId) -> u32 {
        self.trusted_permille.get(zone).copied().unwrap_or(1_000)
    }

    /// Returns the largest share of a source's clients that may still use a destination because of
    /// cached lookup results, in millionths.
    #[must_use]
    pub fn cached_ppm(
        &self,
        source: &ids::AvailabilityZoneId,
        destination: &ids::AvailabilityZoneId,
    ) -> u32 {
        let pair = (source.clone(), destination.clone());
        let shares = self.cached_shares.iter();
        let cached = shares.filter_map(|(_, shares)| shares.get(&pair)).max();
        cached.copied().unwrap_or(0).min(WHOLE_PPM)
    }

    /// Returns all shares that clients may still use because of cached lookup results, as source,
    /// destination and millionths.
    ///
    /// A pair of zones may occur more than once.
    pub(crate) fn cached(
        &self,
    ) -> impl Iterator<Item = (&ids::AvailabilityZoneId, &ids::AvailabilityZoneId, u32)> {
        let shares = self.cached_shares.iter().flat_map(|(_, shares)| shares);
        shares.map(|((source, destination), share_ppm)| (source, destination, *share_ppm))
    }

    /// Returns whether lookup results of an earlier plan may still be cached.
    #[must_use]
    pub fn has_history(&self) -> bool {
        !self.cached_shares.is_empty()
    }

    /// Retains the shares of `previous` that clients may still have cached, and adds the shares of
    /// this plan.
    pub(crate) fn record_shares(
        &mut self,
        previous: Option<&Self>,
        now: time::TimeMs,
        lookup_ttl: time::SpanMs,
    ) {
        if let Some(previous) = previous {
            // Lookups use a plan until the next plan is computed, so clients cache a plan's lookup
            // results until one TTL after the next plan was computed.
            let next_made = previous
                .cached_shares
                .iter()
                .skip(1)
                .map(|(made_at, _)| *made_at);
            let next_made = next_made.chain([now]);
            let retained = previous.cached_shares.iter().zip(next_made);
            let retained = retained.filter(|(_, next)| now.since(*next) < lookup_ttl);
            self.cached_shares = retained.map(|(entry, _)| entry.clone()).collect();
        }
        self.cached_shares.push((now, self.shares()));
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
