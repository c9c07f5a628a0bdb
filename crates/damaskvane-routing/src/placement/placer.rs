//! Selects the backend server for each request, and records the times of the responses. An object is the item that a
//! request names; a first run is the first request for an object on a server. A cold server has started recently.

mod popular_objects;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::configuration::Configuration;
use crate::limit;
use crate::placement::candidates::{Candidates, Origin, Scope, Search, Spread};
use crate::placement::object_moves::ObjectMoves;
use crate::placement::popularity::Popularity;
use crate::placement::rank;
use crate::placement::region_shifts::RegionShifts;
use crate::placement::rejection::Rejection;
use crate::placement::route_sizes::RouteSizes;
use crate::placement::selection::{MAX_CANDIDATES, Selection};
use crate::placement::warm_shares::{self, WarmShares};
use crate::placement::{
    AnsweredRequest, Choice, Pick, PlacementRequest, PlacementSettings, RefusalReason, RoundTrips,
    RouteKey,
};
use crate::pool::{Baselines, Server, ServerHandle, ServerPool, TimeFactor};

/// Fraction of the `shift_most` setting by which the share of requests sent to another region may rise in a window. The
/// rest is reserved for changes in the number of clients.
const SHIFT_STEP_SHARE: f64 = 0.5;

/// Selects a backend server of the pool for each request of this instance.
#[derive(Debug)]
pub struct Placer {
    /// Costs, limits and thresholds of placement.
    pub settings: PlacementSettings,
    /// Usual time of requests by route, as measured from responses.
    pub baselines: Baselines,
    /// Network round trip to each availability zone, measured when connections are opened.
    pub round_trips: RoundTrips,
    route_sizes: RouteSizes,
    popularity: Popularity,
    object_moves: ObjectMoves,
    warm_shares: WarmShares,
    region_shifts: RegionShifts,
    candidates: Candidates,
    own_zone: ids::AvailabilityZoneId,
    own_region: ids::RegionId,
}

impl Placer {
    /// Returns a placer for an instance of `own_zone`, without measurements.
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
            route_sizes: RouteSizes::default(),
            popularity: Popularity::default(),
            object_moves: ObjectMoves::default(),
            warm_shares: WarmShares::default(),
            region_shifts: RegionShifts::default(),
            candidates: Candidates::default(),
            own_zone,
            own_region,
        }
    }

    /// Selects the server for a request, or refuses the request.
    ///
    /// `instances` is the number of instances among which the rate limit of cold servers is divided.
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
        let service = configuration.service(request.service);
        let cold_share = service.map_or(0, |service| {
            let settings = pool.settings().cold_rate;
            settings.share(service.warmup_per_s, instances)
        });
        let max_connections = service.map_or(0, |service| service.max_connections);
        let connection_share = limit::connection_share(max_connections, instances);
        let selection = Selection {
            connection_share,
            ..self.selection(now, pool, request, cold_share, instances)
        };
        if self.uses_even_load(request, search) {
            let pick = selection.even(&mut candidates, search);
            if let Some(pick) = pick {
                let home = candidates.found().first().copied();
                self.candidates = candidates;
                return self.send(now, pool, request, home, pick);
            }
        }
        candidates.find(pool, request, search);
        let usable = candidates.usable(now, pool, search);
        let mut best = selection.best_of(usable, 0);
        if let Err(rejection) = best
            && rejection.calls_for_others()
        {
            best = selection.best_of_others(&mut candidates, search, rejection);
        }
        let home = candidates.found().first().copied();
        self.candidates = candidates;
        match best {
            Ok(pick) => self.send(now, pool, request, home, pick),
            Err(rejection) => self.reject(now, rejection, request),
        }
    }

    /// Returns whether a request is placed by the expected room of servers, unless one of them is warm for its object.
    ///
    /// Popular objects are not: they come back.
    fn uses_even_load(&self, request: &PlacementRequest<'_>, search: Search) -> bool {
        let expects_cold = request.object.is_none_or(|object| {
            let route = RouteKey::of(&request.route.name);
            search.spread == Spread::Region
                && !WarmShares::is_sampled(object)
                && !self.warm_shares.expects_warm(route)
        });
        self.settings.even_load && expects_cold
    }

    /// Returns the selected server, or a refusal if no response is possible before the request's deadline.
    ///
    /// `home` is the first server of the request's object; a selected server in another region counts as shifted.
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
        self.region_shifts.record(now, region != home);
        Choice::Send(pick)
    }

    /// Records the time of an answered request, for its server and for its route's baseline, the usual time of
    /// requests.
    pub fn record_answer(
        &mut self,
        now: TimeMs,
        pool: &mut ServerPool,
        answered: &AnsweredRequest<'_>,
    ) {
        let route_key = RouteKey::of(&answered.route.name);
        self.route_sizes.record(route_key, answered.bytes);
        let Some(mut server) = pool.server_mut(&answered.pick.server) else {
            return;
        };
        let round_trip_ms = self.round_trips.get(&answered.pick.zone);
        let took_ms = answered.took_ms as f64;
        let machine_ratio = answered.time_factor.map_or(1.0, TimeFactor::ratio);
        let work_ms = (took_ms - round_trip_ms.unwrap_or(0.0)).max(1.0) / machine_ratio;
        // Time in a queue or on a cold server reflects load or a recent start, not the speed of the server.
        let is_unrepresentative = answered.has_waited || server.is_cold(now);
        let was_handled_recently = answered
            .object
            .is_some_and(|object| server.handled_recently(now, object));
        if let Some(object) = answered.object {
            server.record_object(now, object);
        }
        if is_unrepresentative {
            return;
        }
        let route = answered.route;
        let baseline = self.baselines.of(&route.name, route.objective_ms);
        if let Some(object) = answered.object
            && answered.pick.rank == 0
            && !answered.pick.was_sent
        {
            self.warm_shares
                .record(route_key, object, baseline, work_ms);
        }
        if was_handled_recently {
            server.record_work_time(now, work_ms, baseline.warm_ms);
            self.baselines
                .record(&route.name, route.objective_ms, true, work_ms);
        } else if answered.pick.rank > 0 || answered.object.is_none() {
            self.baselines
                .record(&route.name, route.objective_ms, false, work_ms);
        }
        if !was_handled_recently && work_ms > baseline.first_ms {
            server.record_work_time(now, work_ms, baseline.first_ms);
        }
    }

    fn reject(&self, now: TimeMs, rejection: Rejection, request: &PlacementRequest<'_>) -> Choice {
        match (rejection.reason, rejection.rest_ends_at) {
            (RefusalReason::Resting, Some(ends_at)) => {
                let wait = ends_at.since(now);
                Choice::Refuse(self.settings.refusal_for_rest(wait, request.spread))
            }
            (reason, _) => self.refuse(reason, request),
        }
    }

    fn refuse(&self, reason: RefusalReason, request: &PlacementRequest<'_>) -> Choice {
        Choice::Refuse(self.settings.refusal(reason, request.spread))
    }

    /// Returns whether an object uses one server of its home region or one server in each of the region's zones.
    ///
    /// Popular objects use a server in each zone while the load of the region is below `spread_load_limit`: the
    /// slow first run on each further server takes slots, which would make a shortage of slots worse.
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
        let region = topology.region_of(own);
        let resting = pool.resting_slots(now, request.service, topology.region_id(region));
        let load = servers.load(now, topology, region, resting);
        if load < self.settings.spread_load_limit {
            Spread::Zones
        } else {
            Spread::Region
        }
    }

    /// Returns the search parameters for a request's servers, or `None` if the pool's topology lacks this instance's
    /// zone.
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
        // The limit also applies to requests that the home region would refuse: sent to another region, they too
        // would reach servers that have not handled their objects recently.
        let scope = if self.region_shifts.may_shift(now, step) {
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
                max_servers: self.settings.servers_per_object,
                moved_steps: self.popularity.moved_steps(now, object),
            },
            // Any server is suitable; a random start spreads such requests over all servers.
            None => Search {
                origin,
                object: rank::from_random(request.spread),
                spread: Spread::Zones,
                scope,
                max_servers: MAX_CANDIDATES,
                moved_steps: 0,
            },
        };
        Some(search)
    }

    /// Returns the selection among the candidates of a request.
    fn selection<'a>(
        &'a self,
        now: TimeMs,
        pool: &'a ServerPool,
        request: &'a PlacementRequest<'a>,
        cold_share: usize,
        instances: usize,
    ) -> Selection<'a> {
        let route = request.route;
        let route_kb = self.route_sizes.kilobytes(RouteKey::of(&route.name));
        Selection {
            now,
            pool,
            request,
            settings: &self.settings,
            round_trips: &self.round_trips,
            baseline: self.baselines.of(&route.name, route.objective_ms),
            other_zone_cost: self.settings.other_zone_cost(route_kb),
            own_zone: &self.own_zone,
            own_region: &self.own_region,
            cold_share,
            connection_share: usize::MAX,
            instances,
            uses_returning: false,
            first_server_warm: if self.settings.even_load {
                self.warm_shares.of(RouteKey::of(&route.name))
            } else {
                warm_shares::ASSUMED_SHARE
            },
        }
    }
}
