//! The placer's part in the decisions on popular objects of its zone: which have servers of their own, and which ones.

use std::collections::HashMap;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::configuration::{Configuration, Route};
use crate::placement::candidates::{Search, Spread};
use crate::placement::object_moves::{self, ObjectMove, ObjectServers};
use crate::placement::popularity::{PopularityDecision, PopularityReport};
use crate::placement::{PlacementRequest, Placer, RouteKey};
use crate::pool::{ServerHandle, ServerPool, Topology};

impl Placer {
    /// Counts a client's request for an object in the next popularity report.
    pub fn record_object_request(&mut self, route: &Route, object: u64) {
        self.popularity.record(&route.name, object);
    }

    /// Returns the counts of requested objects since the last report, to be sent to the aggregators of the zone.
    pub fn take_popularity_report(&mut self) -> PopularityReport {
        self.popularity.take_report()
    }

    /// Adds a popularity report of this instance or of another instance of the zone to the zone's counts.
    ///
    /// Only an aggregator calls this.
    pub fn apply_popularity_report(&mut self, now: TimeMs, report: &PopularityReport) {
        self.popularity.apply_popularity_report(now, report);
        self.object_moves.record(now, report);
    }

    /// Decides which popular objects of this instance's zone use another server than the first one of their ring.
    ///
    /// Only an aggregator calls this.
    pub fn decide_object_moves(
        &mut self,
        now: TimeMs,
        pool: &ServerPool,
        configuration: &Configuration,
    ) -> Vec<ObjectMove> {
        let mut object_moves = core::mem::take(&mut self.object_moves);
        let routes = configuration.routes();
        let routes: HashMap<RouteKey, &Route> = routes
            .map(|route| (RouteKey::of(&route.name), &**route))
            .collect();
        let moves = object_moves.decide(now, |route, object| {
            self.servers_of(now, pool, routes.get(&route)?, object)
        });
        self.object_moves = object_moves;
        moves
    }

    /// Returns the servers in this instance's zone that take the requests for an object; `None` unless the zone has a
    /// server of its own for the object.
    fn servers_of(
        &mut self,
        now: TimeMs,
        pool: &ServerPool,
        route: &Route,
        object: u64,
    ) -> Option<ObjectServers> {
        // The hashes of objects differ between the services of a route.
        let [destination] = route.destinations.as_slice() else {
            return None;
        };
        let request = PlacementRequest {
            route,
            team: None,
            service: &destination.service,
            object: Some(object),
            tried: &[],
            remaining_ms: route.timeout_ms,
            spread: 0.0,
        };
        let search = self.search(now, pool, &request)?;
        if search.spread != Spread::Zones {
            return None;
        }
        let zone = search.origin.zone;
        let zones = pool.topology().zones_in(search.origin.region);
        self.candidates.find(
            pool,
            &request,
            Search {
                moved_steps: 0,
                max_servers: (object_moves::MAX_STEPS + 1) * zones,
                ..search
            },
        );
        let is_own = |handle: &ServerHandle| {
            let server = pool.at(*handle);
            server.is_some_and(|server| server.entry.zone == self.own_zone)
        };
        let found = self.candidates.found().iter().copied();
        if !found.clone().next().is_some_and(|first| is_own(&first)) {
            return None;
        }
        Some(ObjectServers {
            service: destination.service.clone(),
            ring: found.filter(is_own).collect(),
            servers_in_zone: pool.service(request.service)?.zone(zone).servers,
        })
    }

    /// Decides from all reports which share of each route's objects has a server in each zone of the region.
    ///
    /// Only an aggregator calls this. Each call changes a route's share by at most one step.
    pub fn decide_popularity(
        &mut self,
        now: TimeMs,
        topology: &Topology,
    ) -> Vec<PopularityDecision> {
        let mut settings = self.settings.clone();
        if self.is_region_near(topology) {
            settings.other_zone_cost_per_kb = 0.0;
        }
        self.popularity.decide(now, &settings, &self.route_sizes)
    }

    /// Returns whether all other zones of this instance's region are known to be near.
    ///
    /// A server of its own in each zone costs every popular object a first run, and saves its requests no time there.
    fn is_region_near(&self, topology: &Topology) -> bool {
        let others = topology.zones().filter(|zone| {
            let region = topology.region_id(topology.region_of(*zone));
            *region == self.own_region && *topology.zone_id(*zone) != self.own_zone
        });
        let mut others = others.peekable();
        others.peek().is_some()
            && others.all(|zone| {
                let round_trip_ms = self.round_trips.get(topology.zone_id(zone));
                self.settings.is_near(round_trip_ms)
            })
    }

    /// Applies the popularity decisions of the aggregator `by`, which may be this instance.
    pub fn apply_popularity_decisions(
        &mut self,
        now: TimeMs,
        by: &ids::InstanceId,
        decisions: &[PopularityDecision],
        moves: &[ObjectMove],
    ) {
        let popularity = &mut self.popularity;
        if popularity.apply_popularity_decisions(now, by, decisions, moves) {
            self.object_moves.adopt(now, moves);
        }
    }
}
