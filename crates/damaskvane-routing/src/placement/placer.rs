//! Chooses the server of a request.

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::configuration::{Configuration, Route};
use crate::placement::appraisal::{self, Appraisal, Expected};
use crate::placement::candidates::{Candidates, Origin, Scope, Search, Spread};
use crate::placement::moves::Moves;
use crate::placement::popularity::{Popularity, PopularityDecision, PopularityReport};
use crate::placement::rank;
use crate::placement::{
    AnsweredRequest, Choice, PassedOver, Pick, PlacementRequest, PlacementSettings, Refusal,
    RefusalReason, RoundTrips,
};
use crate::pool::{Baselines, Server, ServerHandle, ServerPool};

/// The part of the bound on shifts by which overflow may rise; the rest is for callers that come and go.
const SHIFT_STEP_SHARE: f64 = 0.5;
/// Servers that are looked at for a request without an object, or whose object's own servers are cold.
const MOST_CANDIDATES: usize = 12;
/// The round trip to a zone that was never reached.
const UNKNOWN_ROUND_TRIP_MS: f64 = 5.0;

/// Places requests on the servers of the pool.
#[derive(Debug)]
pub struct Placer {
    /// The settings.
    pub settings: PlacementSettings,
    /// How long requests usually take.
    pub baselines: Baselines,
    /// How far the zones are.
    pub round_trips: RoundTrips,
    popularity: Popularity,
    moves: Moves,
    candidates: Candidates,
    own_zone: ids::AvailabilityZoneId,
    own_region: ids::RegionId,
}

impl Placer {
    /// A placer for an instance of this zone.
    #[must_use]
    pub fn new(
        settings: PlacementSettings,
        own_zone: ids::AvailabilityZoneId,
        own_region: ids::RegionId,
    ) -> Self {
        Self {
            settings,
            baselines: Baselines::default(),
            round_trips: RoundTrips::default(),
            popularity: Popularity::default(),
            moves: Moves::default(),
            candidates: Candidates::default(),
            own_zone,
            own_region,
        }
    }

    /// Notes that a client asks for an object.
    pub fn record_object_request(&mut self, route: &Route, object: u64) {
        self.popularity.note(&route.name, object);
    }

    /// What clients asked for since the last report, for those that speak for the zone.
    pub fn take_popularity_report(&mut self) -> PopularityReport {
        self.popularity.take_report()
    }

    /// Takes in what the clients of another instance of the zone asked for, or this one's own report.
    pub fn apply_popularity_report(&mut self, now: TimeMs, report: &PopularityReport) {
        self.popularity.apply_popularity_report(now, report);
    }

    /// Judges by all reports which objects have a server in each zone, as an instance that speaks for its zone.
    pub fn decide_popularity(&mut self, now: TimeMs) -> Vec<PopularityDecision> {
        self.popularity.judge(now, &self.settings)
    }

    /// Takes in what an instance has judged that speaks for the zone.
    pub fn apply_popularity_decisions(
        &mut self,
        now: TimeMs,
        by: &ids::InstanceId,
        verdicts: &[PopularityDecision],
    ) {
        self.popularity
            .apply_popularity_decisions(now, by, verdicts);
    }

    /// Decides where a request goes, where `instances` share the cold servers.
    pub fn choose(
        &mut self,
        now: TimeMs,
        pool: &ServerPool,
        configuration: &Configuration,
        request: &PlacementRequest<'_>,
        instances: usize,
    ) -> Choice {
        let Some(search) = self.search(now, pool, request) else {
            return self.refuse(RefusalReason::NoServer, request);
        };
        let mut candidates = core::mem::take(&mut self.candidates);
        candidates.find(pool, request, search);
        let cold_share = configuration.service(request.service).map_or(0, |service| {
            let settings = pool.settings().cold_rate;
            settings.share(service.warmup_per_s, instances)
        });
        let own = own_servers(now, pool, candidates.found(), search);
        let mut best = self.best_of(now, pool, request, own, 0, cold_share);
        if best == Err(RefusalReason::Cold) {
            // Where only the cold share stands in the way, a server that doesn't know the object is better
            // than no answer: the cold ones are few, and soon warm.
            let looked_at = own.len();
            let wide = Search {
                scope: Scope::Everywhere,
                most: MOST_CANDIDATES,
                ..search
            };
            candidates.find(pool, request, wide);
            let others = candidates.found().get(looked_at..).unwrap_or_default();
            best = self.best_of(now, pool, request, others, looked_at, cold_share);
        }
        let home = candidates.found().first().copied();
        self.candidates = candidates;
        match best {
            Ok(pick) => self.send(now, pool, request, home, pick),
            Err(reason) => self.refuse(reason, request),
        }
    }

    /// Sends a request, whose object's first server is `home`, if it can be answered in the time that is left.
    fn send(
        &mut self,
        now: TimeMs,
        pool: &ServerPool,
        request: &PlacementRequest<'_>,
        home: Option<ServerHandle>,
        pick: Pick,
    ) -> Choice {
        if pick.min_ms > request.remaining_ms as f64 {
            return self.refuse(RefusalReason::TooLate, request);
        }
        let home = home.and_then(|home| pool.at(home)?.region());
        let region = pool.server(&pick.server).and_then(Server::region);
        self.moves.note(now, region != home);
        Choice::Send(pick)
    }

    /// Takes in an answered request: how long its work takes, on this server and everywhere.
    pub fn record_answer(
        &mut self,
        now: TimeMs,
        pool: &mut ServerPool,
        answered: &AnsweredRequest<'_>,
    ) {
        let Some(mut server) = pool.server_mut(&answered.pick.server) else {
            return;
        };
        let round_trip_ms = self.round_trips.get(&answered.pick.zone);
        let took_ms = answered.took_ms as f64;
        let work_ms = (took_ms - round_trip_ms.unwrap_or(0.0)).max(1.0);
        // Waiting and a cold start say how busy or fresh the server is, not how fast.
        let says_nothing = answered.has_waited || server.is_cold(now);
        let is_remembered = answered
            .object
            .is_some_and(|object| server.remembers(now, object));
        if let Some(object) = answered.object {
            server.note_object(now, object);
        }
        if says_nothing {
            return;
        }
        let route = answered.route;
        let baseline = self.baselines.of(&route.name, route.objective_ms);
        if is_remembered {
            server.note_time(now, work_ms, baseline.warm_ms);
            self.baselines
                .note(&route.name, route.objective_ms, true, work_ms);
        } else if answered.pick.rank > 0 || answered.object.is_none() {
            self.baselines
                .note(&route.name, route.objective_ms, false, work_ms);
        }
        if !is_remembered && work_ms > baseline.first_ms {
            server.note_time(now, work_ms, baseline.first_ms);
        }
    }

    fn refuse(&self, reason: RefusalReason, request: &PlacementRequest<'_>) -> Choice {
        let spread_ms = self.settings.retry_spread_ms as f64 * request.spread;
        Choice::Refuse(Refusal {
            reason,
            retry_after_ms: self.settings.retry_after_ms + spread_ms as u64,
        })
    }

    /// Popular objects have a server in each zone, as long as the region has room for the slow first runs:
    /// copies that are made while slots are short leave still fewer of them.
    fn spread(
        &self,
        now: TimeMs,
        pool: &ServerPool,
        request: &PlacementRequest<'_>,
        object: u64,
    ) -> Spread {
        let route = &request.route.name;
        if !self.popularity.is_popular(now, route, object) {
            return Spread::Region;
        }
        let topology = pool.topology();
        let (Some(servers), Some(own)) =
            (pool.service(request.service), topology.zone(&self.own_zone))
        else {
            return Spread::Region;
        };
        let load = servers.load(now, topology, topology.region_of(own));
        if load < self.settings.spread_load_limit {
            Spread::Zones
        } else {
            Spread::Region
        }
    }

    /// Which servers a request may use; none in a zone that the pool doesn't know.
    fn search(
        &mut self,
        now: TimeMs,
        pool: &ServerPool,
        request: &PlacementRequest<'_>,
    ) -> Option<Search> {
        let topology = pool.topology();
        let zone = topology.zone(&self.own_zone)?;
        let origin = Origin {
            zone,
            region: topology.region_of(zone),
        };
        let step = self.settings.shift_most * SHIFT_STEP_SHARE;
        // What would be refused at home counts like any other: a burst that leaves by refusals alone would meet
        // servers that remember none of its objects just as well.
        let scope = if self.moves.may_move(now, step) {
            Scope::Everywhere
        } else {
            Scope::Home
        };
        let search = match request.object {
            Some(object) => Search {
                origin,
                object,
                spread: self.spread(now, pool, request, object),
                scope,
                most: self.settings.servers_per_object,
            },
            // Any server does; each request begins somewhere else.
            None => Search {
                origin,
                object: rank::of_draw(request.spread),
                spread: Spread::Zones,
                scope,
                most: MOST_CANDIDATES,
            },
        };
        Some(search)
    }

    /// The server that has room and wins most, of those from this place in the object's order on.
    fn best_of(
        &self,
        now: TimeMs,
        pool: &ServerPool,
        request: &PlacementRequest<'_>,
        candidates: &[ServerHandle],
        first_rank: usize,
        cold_share: usize,
    ) -> Result<Pick, RefusalReason> {
        let limit = self.settings.load_limit(request.route.priority);
        let mut best: Option<(Appraisal, usize, &Server)> = None;
        let mut reason = RefusalReason::NoServer;
        let mut passed_over = None;
        for (rank, candidate) in (first_rank..).zip(candidates) {
            let Some(server) = pool.at(*candidate) else {
                continue;
            };
            if !server.has_cold_room(now, cold_share) {
                if reason == RefusalReason::NoServer {
                    reason = RefusalReason::Cold;
                }
                passed_over.get_or_insert(PassedOver::Cold);
                continue;
            }
            let appraisal = self.appraise(now, server, request, rank);
            if appraisal.load >= limit {
                reason = RefusalReason::Overloaded;
                passed_over.get_or_insert(PassedOver::Full);
                continue;
            }
            passed_over.get_or_insert_with(|| appraisal::why_passed_over(now, server));
            if best.is_none_or(|(best, _, _)| appraisal.gain > best.gain) {
                best = Some((appraisal, rank, server));
            }
        }
        let (appraisal, rank, server) = best.ok_or(reason)?;
        Ok(appraisal.pick(now, server, request, rank, passed_over))
    }

    fn appraise(
        &self,
        now: TimeMs,
        server: &Server,
        request: &PlacementRequest<'_>,
        rank: usize,
    ) -> Appraisal {
        let route = request.route;
        let round_trip_ms = self.round_trips.get(&server.entry.zone);
        // The order of servers has weighed the distance of the first one against its slots.
        let distance_cost = if rank > 0 {
            self.distance_cost(server)
        } else {
            0.0
        };
        let expected = Expected {
            baseline: self.baselines.of(&route.name, route.objective_ms),
            round_trip_ms: round_trip_ms.unwrap_or(UNKNOWN_ROUND_TRIP_MS),
            distance_cost,
        };
        Appraisal::of(now, &self.settings, server, request, rank, expected)
    }

    fn distance_cost(&self, server: &Server) -> f64 {
        if server.entry.zone == self.own_zone {
            return 0.0;
        }
        if server.region() == Some(&self.own_region) {
            self.settings.other_zone_cost
        } else {
            self.settings.other_region_cost
        }
    }
}

/// The servers that an object uses, of those that were found.
///
/// A request that may not leave its region stays with the one server that its object has there: a queue is no
/// reason for another copy. A server that is unwell is one.
fn own_servers<'a>(
    now: TimeMs,
    pool: &ServerPool,
    found: &'a [ServerHandle],
    search: Search,
) -> &'a [ServerHandle] {
    let is_confined = search.scope == Scope::Home && search.spread == Spread::Region;
    let first = found.first().and_then(|first| pool.at(*first));
    let is_well = first.is_some_and(|first| appraisal::is_well(now, first));
    if is_confined && is_well {
        &found[..1]
    } else {
        found
    }
}
