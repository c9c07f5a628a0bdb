//! Selects the best of the servers that may take a request.

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::placement::candidates::{Candidates, Scope, Search};
use crate::placement::rank;
use crate::placement::rejection::Rejection;
use crate::placement::server_score::{self, Estimates, ServerScore};
use crate::placement::{
    Pick, PlacementRequest, PlacementSettings, RefusalReason, RoundTrips, SkipReason,
};
use crate::pool::{Baseline, Server, ServerHandle, ServerPool};

/// Assumed network round trip to a zone to which no connection was opened yet.
const DEFAULT_ROUND_TRIP_MS: f64 = 5.0;

/// Maximum number of candidates for a request without an object, or for a request whose usual servers take none now.
pub(super) const MAX_CANDIDATES: usize = 12;

/// Maximum number of candidates, besides those that rest, for a request whose usual servers rest: many others may be full by
/// what these would have taken.
const MAX_CANDIDATES_FOR_RESTING: usize = 64;

/// What the selection among the servers of one request depends on.
#[derive(Debug, Clone, Copy)]
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
    /// Requests that this instance may have in flight to one server: each occupies a connection, and servers limit the
    /// number of connections from all instances together.
    pub(super) connection_share: usize,
    /// Number of instances that may use the same servers.
    pub(super) instances: usize,
    /// Whether servers that have just rested take requests beyond the share that has returned.
    pub(super) uses_returning: bool,
}

impl Selection<'_> {
    /// Returns the candidate with the highest score among those with capacity, or the reason why none has capacity.
    ///
    /// `first_rank` is the rank of the first candidate in the object's order of servers.
    pub(super) fn best_of(
        &self,
        candidates: &[ServerHandle],
        first_rank: usize,
    ) -> Result<Pick, Rejection> {
        let now = self.now;
        let priority = self.request.priority();
        let limit = self.settings.load_limit(priority);
        let mut best: Option<(ServerScore, usize, &Server)> = None;
        let mut rejection = Rejection::none();
        let mut passed_over = None;
        for (rank, candidate) in (first_rank..).zip(candidates) {
            let Some(server) = self.pool.at(*candidate) else {
                continue;
            };
            if !self.takes_request(server, priority) {
                rejection.add_resting(server.availability.rest.returns_from());
                passed_over.get_or_insert(SkipReason::Resting);
                continue;
            }
            if !server.has_cold_capacity(now, self.cold_share) {
                rejection.add(RefusalReason::Cold);
                passed_over.get_or_insert(SkipReason::Cold);
                continue;
            }
            if !server.availability.limit.may_have_token(now, priority) {
                rejection.add(RefusalReason::Limited);
                passed_over.get_or_insert(SkipReason::Limited);
                continue;
            }
            let scored = self.score(server, rank);
            let has_connection = server.in_flight() < self.connection_share;
            if scored.load >= limit || !has_connection {
                rejection.add(RefusalReason::Overloaded);
                passed_over.get_or_insert(SkipReason::Full);
                continue;
            }
            passed_over.get_or_insert_with(|| server_score::passed_over_reason(now, server));
            if best.is_none_or(|(best, _, _)| scored.score > best.score) {
                best = Some((scored, rank, server));
            }
        }
        let (scored, rank, server) = best.ok_or(rejection)?;
        Ok(scored.pick(now, server, self.request, rank, passed_over))
    }

    /// Returns the best of all servers that may run the request, after `rejection` by the object's usual ones.
    ///
    /// While requests may not leave their region, its own servers come first.
    pub(super) fn best_of_others(
        &self,
        candidates: &mut Candidates,
        search: Search,
        rejection: Rejection,
    ) -> Result<Pick, Rejection> {
        let resting = self.pool.resting(self.now).count();
        let usable = if rejection.rest_ends_at.is_some() {
            MAX_CANDIDATES_FOR_RESTING
        } else {
            MAX_CANDIDATES
        };
        let wide = Search {
            max_servers: usable + self.pool.limited().len() + resting,
            ..search
        };
        let mut best = Err(rejection);
        if search.scope == Scope::Home && rejection.rest_ends_at.is_some() {
            candidates.find(self.pool, self.request, wide);
            best = self.best_of(candidates.found(), 0);
        }
        if best.is_err() {
            let scope = Scope::Everywhere;
            candidates.find(self.pool, self.request, Search { scope, ..wide });
            best = self.best_of(candidates.found(), 0);
        }
        if matches!(best, Err(rejection) if rejection.rest_ends_at.is_some()) {
            let with_returning = Self {
                uses_returning: true,
                ..*self
            };
            best = with_returning.best_of(candidates.found(), 0);
        }
        best
    }

    /// Returns whether a server takes this request by what it has said. After a rest, a growing share of the objects
    /// returns; others come back earlier only where no other server takes them.
    fn takes_request(&self, server: &Server, priority: u32) -> bool {
        let rest = &server.availability.rest;
        if server.availability.check(self.now).is_err() {
            return false;
        }
        let share = rest.returned_share(self.now, priority);
        if share >= 1.0 {
            return true;
        }
        let draw = match self.request.object {
            Some(object) => rank::uniform(object, server.entry.id.as_str()),
            None => self.request.spread,
        };
        draw < share || self.uses_returning && self.may_use_returning(server)
    }

    /// Returns whether a server that has just rested takes a request that no other one takes: all instances together must
    /// not send it more of them than it has slots.
    fn may_use_returning(&self, server: &Server) -> bool {
        let share = f64::from(server.entry.slots) / self.instances.max(1) as f64;
        server.in_flight() == 0 && self.request.spread < share
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
            let round_trip_ms = self.round_trips.get(&server.entry.zone);
            if self.settings.is_near(round_trip_ms) {
                0.0
            } else {
                self.other_zone_cost
            }
        } else {
            self.settings.other_region_cost
        }
    }
}
