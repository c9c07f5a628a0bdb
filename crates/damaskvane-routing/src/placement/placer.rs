//! Chooses the server of a request.

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::configuration::Configuration;
use crate::placement::ranking;
use crate::placement::{
    AnsweredRequest, Choice, Pick, PlacementRequest, PlacementSettings, Refusal, RefusalReason,
    RoundTrips,
};
use crate::pool::{Baselines, Reach, Server, ServerPool, ServerState};

/// The chance that a server remembers an object which this instance hasn't sent it, by its rank: other
/// instances use the same order and have mostly sent it to the first.
const WARM_CHANCE: [f64; 4] = [0.9, 0.6, 0.4, 0.3];
/// The chance that a server still remembers what this instance sent it.
const REMEMBERED_CHANCE: f64 = 0.97;
/// How much longer work takes on a cold server.
const COLD_FACTOR: f64 = 2.0;
/// What a busy server costs, as a part of the request's time at full load: spreads load over the servers
/// of an object before any of them has a queue.
const BUSY_SHARE: f64 = 0.4;
/// What a failed exchange costs, in objectives.
const FAILURE_COST: f64 = 1.0;
/// What a server whose last exchanges hang costs, in objectives.
const STALLED_COST: f64 = 3.0;
/// The part of a request's usual time that hardly any request takes less than.
const LEAST_SHARE: f64 = 0.6;
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
            own_zone,
            own_region,
        }
    }

    /// Decides where a request goes, where `instances` share the cold servers.
    pub fn choose(
        &self,
        now: TimeMs,
        pool: &mut ServerPool,
        configuration: &Configuration,
        request: &PlacementRequest<'_>,
        instances: usize,
    ) -> Choice {
        let ranked = self.ranked(pool, request);
        if ranked.is_empty() {
            return self.refuse(RefusalReason::NoServer, request);
        }
        let cold_share = configuration.service(request.service).map_or(0, |service| {
            let settings = pool.settings().cold_rate;
            settings.share(service.warmup_per_s, instances)
        });
        let few = match request.object {
            Some(_) => self.settings.servers_per_object.min(ranked.len()),
            None => ranked.len(),
        };
        match self.best(now, pool, request, &ranked[..few], cold_share) {
            Ok(pick) => self.admit(pick, request),
            // Where only the cold share stands in the way, a server that doesn't know the object is
            // better than no answer: the cold ones are few, and soon warm.
            Err(RefusalReason::Cold) if few < ranked.len() => {
                match self.best(now, pool, request, &ranked[few..], cold_share) {
                    Ok(pick) => self.admit(pick, request),
                    Err(reason) => self.refuse(reason, request),
                }
            }
            Err(reason) => self.refuse(reason, request),
        }
    }

    /// Takes in an answered request: how long its work takes, on this server and everywhere.
    pub fn note_answered(
        &mut self,
        now: TimeMs,
        pool: &mut ServerPool,
        answered: &AnsweredRequest<'_>,
    ) {
        let Some(server) = pool.server_mut(&answered.pick.server) else {
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

    fn admit(&self, pick: Pick, request: &PlacementRequest<'_>) -> Choice {
        if pick.least_ms > request.left_ms as f64 {
            return self.refuse(RefusalReason::TooLate, request);
        }
        Choice::Send(pick)
    }

    fn refuse(&self, reason: RefusalReason, request: &PlacementRequest<'_>) -> Choice {
        let spread_ms = self.settings.retry_spread_ms as f64 * request.spread;
        Choice::Refuse(Refusal {
            reason,
            retry_after_ms: self.settings.retry_after_ms + spread_ms as u64,
        })
    }

    /// The servers that may take the request, the object's first server first.
    fn ranked(
        &self,
        pool: &ServerPool,
        request: &PlacementRequest<'_>,
    ) -> Vec<ids::BackendServerId> {
        let origin = ranking::Origin {
            zone: &self.own_zone,
            region: &self.own_region,
        };
        let object = request.object.unwrap_or_default();
        ranking::of_object(pool, origin, object, |server| {
            may_take(pool, server, request)
        })
    }

    /// The cheapest of the servers that have room.
    fn best(
        &self,
        now: TimeMs,
        pool: &mut ServerPool,
        request: &PlacementRequest<'_>,
        candidates: &[ids::BackendServerId],
        cold_share: usize,
    ) -> Result<Pick, RefusalReason> {
        let limit = self.settings.load_limit(request.route.priority);
        let mut best: Option<(f64, Pick)> = None;
        let mut reason = RefusalReason::Cold;
        for (rank, candidate) in candidates.iter().enumerate() {
            let Some(server) = pool.server_mut(candidate) else {
                continue;
            };
            if !server.has_cold_room(now, cold_share) {
                continue;
            }
            let (cost_ms, pick) = self.rate(now, server, request, rank);
            if pick.load >= limit {
                reason = RefusalReason::Overloaded;
                continue;
            }
            if best.as_ref().is_none_or(|(least, _)| cost_ms < *least) {
                best = Some((cost_ms, pick));
            }
        }
        best.map(|(_, pick)| pick).ok_or(reason)
    }

    /// What the request would cost on this server, in milliseconds.
    fn rate(
        &self,
        now: TimeMs,
        server: &Server,
        request: &PlacementRequest<'_>,
        rank: usize,
    ) -> (f64, Pick) {
        let route = request.route;
        let baseline = self.baselines.of(&route.name, route.objective_ms);
        let is_remembered = request
            .object
            .is_some_and(|object| server.remembers(now, object));
        let warm_chance = match request.object {
            Some(_) if is_remembered => REMEMBERED_CHANCE,
            Some(_) => WARM_CHANCE.get(rank).copied().unwrap_or_default(),
            None => 0.0,
        };
        let mut work_ms = baseline.expected_ms(warm_chance) * server.slowness(now);
        if server.is_cold(now) {
            work_ms *= COLD_FACTOR;
        }
        let slots = f64::from(server.entry.slots.max(1));
        let load = server.load(now);
        let wait_ms = (load + 1.0 - slots).max(0.0) / slots * work_ms;
        let round_trip_ms = self
            .round_trips
            .get(&server.entry.zone)
            .unwrap_or(UNKNOWN_ROUND_TRIP_MS);
        let expected_ms = work_ms + wait_ms + round_trip_ms;
        let objective_ms = route.objective_ms as f64;
        let busy = (load / slots).min(2.0);
        // A guess is no reason to refuse: the route may be new, and faster than its objective suggests.
        let least_work_ms = if baseline.is_measured {
            baseline.warm_ms * LEAST_SHARE
        } else {
            0.0
        };
        let mut cost_ms = expected_ms + busy * busy * BUSY_SHARE * work_ms;
        cost_ms += server.failure_share(now) * FAILURE_COST * objective_ms;
        if server.is_stalled(now) {
            cost_ms += STALLED_COST * objective_ms;
        }
        // The order of servers has weighed the distance of the first one against its slots.
        if rank > 0 {
            cost_ms += self.distance_cost_ms(server);
        }
        let pick = Pick {
            server: server.entry.id.clone(),
            address: server.entry.address,
            zone: server.entry.zone.clone(),
            expected_ms,
            least_ms: least_work_ms + wait_ms + round_trip_ms,
            is_warm: warm_chance >= WARM_CHANCE[0],
            load: load / slots,
            rank,
        };
        (cost_ms, pick)
    }

    fn distance_cost_ms(&self, server: &Server) -> f64 {
        if server.entry.zone == self.own_zone {
            return 0.0;
        }
        if server.region() == Some(&self.own_region) {
            self.settings.other_zone_cost_ms
        } else {
            self.settings.other_region_cost_ms
        }
    }
}

/// Whether the server may take the request at all.
fn may_take(pool: &ServerPool, server: &Server, request: &PlacementRequest<'_>) -> bool {
    let entry = &server.entry;
    entry.service == *request.service
        && entry.state == ServerState::Ready
        && matches!(server.reach, Reach::Up | Reach::Doubtful { .. })
        && !pool.is_evacuated(&entry.zone)
        && !request.tried.contains(&entry.id)
        && is_region_allowed(server, request)
}

fn is_region_allowed(server: &Server, request: &PlacementRequest<'_>) -> bool {
    request.route.allowed_regions.is_empty()
        || server
            .region()
            .is_some_and(|region| request.route.allows(region))
}
