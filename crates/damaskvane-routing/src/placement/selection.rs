//! Selects the best of the servers that may take a request.

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::placement::server_score::{self, Estimates, ServerScore};
use crate::placement::{
    Pick, PlacementRequest, PlacementSettings, RefusalReason, RoundTrips, SkipReason,
};
use crate::pool::{Baseline, Server, ServerHandle, ServerPool};

/// Assumed network round trip to a zone to which no connection was opened yet.
const DEFAULT_ROUND_TRIP_MS: f64 = 5.0;

/// What the selection among the servers of one request depends on.
#[derive(Debug)]
pub(super) struct Selection<'a> {
    pub(super) now: TimeMs,
    pub(super) pool: &'a ServerPool,
    pub(super) request: &'a PlacementRequest<'a>,
    pub(super) settings: &'a PlacementSettings,
    pub(super) round_trips: &'a RoundTrips,
    /// Usual times of the request's route.
    pub(super) baseline: Baseline,
    /// Cost of a server in another zone of this instance's region.
    pub(super) other_zone_cost: f64,
    pub(super) own_zone: &'a ids::AvailabilityZoneId,
    pub(super) own_region: &'a ids::RegionId,
    /// Requests per second that this instance may send to a cold server.
    pub(super) cold_share: usize,
}

impl Selection<'_> {
    /// Returns the candidate with the highest score among those with capacity, or the reason why none has capacity.
    ///
    /// `first_rank` is the rank of the first candidate in the object's order of servers.
    pub(super) fn best_of(
        &self,
        candidates: &[ServerHandle],
        first_rank: usize,
    ) -> Result<Pick, RefusalReason> {
        let now = self.now;
        let priority = self.request.priority();
        let limit = self.settings.load_limit(priority);
        let mut best: Option<(ServerScore, usize, &Server)> = None;
        let mut reason = RefusalReason::NoServer;
        let mut passed_over = None;
        for (rank, candidate) in (first_rank..).zip(candidates) {
            let Some(server) = self.pool.at(*candidate) else {
                continue;
            };
            if !server.has_cold_capacity(now, self.cold_share) {
                if reason == RefusalReason::NoServer {
                    reason = RefusalReason::Cold;
                }
                passed_over.get_or_insert(SkipReason::Cold);
                continue;
            }
            if !server.availability.limit.may_have_token(now, priority) {
                reason = RefusalReason::Limited;
                passed_over.get_or_insert(SkipReason::Limited);
                continue;
            }
            let scored = self.score(server, rank);
            if scored.load >= limit {
                if reason != RefusalReason::Limited {
                    reason = RefusalReason::Overloaded;
                }
                passed_over.get_or_insert(SkipReason::Full);
                continue;
            }
            passed_over.get_or_insert_with(|| server_score::passed_over_reason(now, server));
            if best.is_none_or(|(best, _, _)| scored.score > best.score) {
                best = Some((scored, rank, server));
            }
        }
        let (scored, rank, server) = best.ok_or(reason)?;
        Ok(scored.pick(now, server, self.request, rank, passed_over))
    }

    fn score(&self, server: &Server, rank: usize) -> ServerScore {
        let round_trip_ms = self.round_trips.get(&server.entry.zone);
        // The order of servers already accounts for the distance of the first server.
        let distance_cost = if rank > 0 {
            self.distance_cost(server)
        } else {
            0.0
        };
        let estimates = Estimates {
            baseline: self.baseline,
            round_trip_ms: round_trip_ms.unwrap_or(DEFAULT_ROUND_TRIP_MS),
            distance_cost,
        };
        ServerScore::of(
            self.now,
            self.settings,
            server,
            self.request,
            rank,
            estimates,
        )
    }

    fn distance_cost(&self, server: &Server) -> f64 {
        if server.entry.zone == *self.own_zone {
            0.0
        } else if server.region() == Some(self.own_region) {
            self.other_zone_cost
        } else {
            self.settings.other_region_cost
        }
    }
}
