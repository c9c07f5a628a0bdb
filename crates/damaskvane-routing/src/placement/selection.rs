//! Selects the best of the servers that may take a request.

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::placement::candidates::{Candidates, Scope, Search};
use crate::placement::rank;
use crate::placement::rejection::Rejection;
use crate::placement::room::{self, RegionMean};
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
    /// Probability that the first server of an object is warm although this instance has not sent it the object.
    pub(super) first_server_warm: f64,
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
            if let Some(reason) = self.bar(server, priority) {
                match reason {
                    SkipReason::Resting => {
                        rejection.add_resting(server.availability.rest.returns_from());
                    }
                    SkipReason::Cold => rejection.add(RefusalReason::Cold),
                    _ => rejection.add(RefusalReason::Limited),
                }
                passed_over.get_or_insert(reason);
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

    /// Returns a server of the home region by the expected room, or a server that is warm for the request's object by
    /// this instance's requests; `None` if there is neither.
    pub(super) fn even(&self, candidates: &mut Candidates, search: Search) -> Option<Pick> {
        let wide = Search {
            scope: Scope::Home,
            max_servers: MAX_CANDIDATES,
            ..search
        };
        candidates.find(self.pool, self.request, wide);
        candidates.add_recent(self.pool, self.request);
        let found = candidates.found();
        if self
            .request
            .object
            .is_some_and(|object| self.was_sent(found, object))
        {
            return self.best_of(found, 0).ok();
        }
        let mean = self.region_mean(found)?;
        // An object has servers in all zones of its region; other requests leave their zone only if it is full.
        let has_room_nearby = |server: &Server| {
            server.entry.zone == *self.own_zone && room::free_slots(self.now, server, mean) >= 1.0
        };
        let nearby = match self.request.object {
            Some(_) => None,
            None => self.by_room(found, mean, has_room_nearby),
        };
        nearby.or_else(|| self.by_room(found, mean, |_| true))
    }

    fn was_sent(&self, candidates: &[ServerHandle], object: u64) -> bool {
        let mut servers = candidates.iter().filter_map(|one| self.pool.at(*one));
        servers.any(|server| server.handled_recently(self.now, object))
    }

    /// Returns the mean load in the region of the candidates.
    fn region_mean(&self, candidates: &[ServerHandle]) -> Option<RegionMean> {
        let topology = self.pool.topology();
        let first = self.pool.at(*candidates.first()?)?;
        let region = topology.region_of(topology.zone(&first.entry.zone)?);
        let servers = self.pool.service(self.request.service)?;
        let instances = self.instances.max(1) as f64;
        Some(RegionMean {
            load: servers.load(self.now, topology, region, 0),
            others_share: (instances - 1.0) / instances,
        })
    }

    /// Returns one of the candidates at random, weighted by the room that is expected there, or `None` if no eligible
    /// and healthy candidate is below the load limit.
    ///
    /// Instances that know the same reports draw different servers.
    fn by_room(
        &self,
        candidates: &[ServerHandle],
        mean: RegionMean,
        is_eligible: impl Fn(&Server) -> bool,
    ) -> Option<Pick> {
        let now = self.now;
        let priority = self.request.priority();
        let limit = self.settings.load_limit(priority);
        let draw = rank::from_random(self.request.spread);
        let mut best: Option<(f64, ServerScore, usize, &Server)> = None;
        for (rank, candidate) in candidates.iter().enumerate() {
            let Some(server) = self.pool.at(*candidate) else {
                continue;
            };
            let is_usable = is_eligible(server) && server_score::is_healthy(now, server);
            if !is_usable || self.bar(server, priority).is_some() {
                continue;
            }
            let scored = self.score(server, rank);
            if scored.load >= limit || server.in_flight() >= self.connection_share {
                continue;
            }
            let weight = room::weight(now, server, mean);
            let drawn = rank::score(draw, server.entry.id.as_str(), weight);
            if best.is_none_or(|(highest, ..)| drawn > highest) {
                best = Some((drawn, scored, rank, server));
            }
        }
        let (_, scored, rank, server) = best?;
        let passed_over = Some(SkipReason::LowerScore);
        Some(scored.pick(now, server, self.request, rank, passed_over))
    }

    /// Returns the reason why a server may not take the request now, whatever its load; `None` if it may.
    fn bar(&self, server: &Server, priority: u32) -> Option<SkipReason> {
        let limit = &server.availability.limit;
        if !self.takes_request(server, priority) {
            Some(SkipReason::Resting)
        } else if !server.has_cold_capacity(self.now, self.cold_share) {
            Some(SkipReason::Cold)
        } else if !limit.may_have_token(self.now, priority) {
            Some(SkipReason::Limited)
        } else {
            None
        }
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
            first_server_warm: self.first_server_warm,
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
