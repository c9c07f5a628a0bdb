//! An instance of the gateway, as far as placement goes.

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::configuration::Configuration;
use damaskvane_routing::placement::{
    AnsweredRequest, Choice, ObjectMove, Pick, PlacementRequest, Placer, PopularityDecision,
    PopularityReport,
};
use damaskvane_routing::pool::{ExchangeEnd, ExchangeId, LoadReport, ServerPool, ServerReport};
use rand::seq::IndexedRandom;

use crate::placement::deployment::Deployment;
use crate::placement::policy::Policy;

/// Size of a request and its response in the model, in bytes.
const EXCHANGE_BYTES: usize = 2_000;

/// An instance, with its own view of the servers.
#[derive(Debug)]
pub(super) struct Instance {
    policy: Policy,
    placer: Placer,
    pool: ServerPool,
    last: usize,
    /// All instances of the deployment.
    instances: usize,
}

impl Instance {
    pub(super) fn new(deployment: &Deployment, policy: Policy, zone: usize) -> Self {
        let settings = policy.settings().unwrap_or_default();
        let (own_zone, own_region) = (deployment.zone_id(zone), deployment.region_id(zone));
        let mut placer = Placer::new(settings, own_zone, own_region);
        for other in 0..deployment.zones.len() {
            let round_trip_ms = deployment.round_trip_ms(zone, other) as f64;
            placer
                .round_trips
                .record(&deployment.zone_id(other), round_trip_ms);
        }
        Self {
            policy,
            placer,
            pool: deployment.pool(),
            last: zone,
            instances: deployment.zones.iter().map(|zone| zone.instances).sum(),
        }
    }

    pub(super) fn choose(
        &mut self,
        now: TimeMs,
        configuration: &Configuration,
        request: &PlacementRequest<'_>,
        random: &mut impl rand::Rng,
    ) -> Choice {
        if self.policy.settings().is_some() {
            if let Some(object) = request.object.filter(|_| request.tried.is_empty()) {
                self.placer.record_object_request(request.route, object);
            }
            let (pool, instances) = (&self.pool, self.instances);
            return self
                .placer
                .choose(now, pool, configuration, request, instances);
        }
        Choice::Send(self.baseline(request, random))
    }

    /// What its clients asked for since the last call.
    pub(super) fn take_popularity_report(&mut self) -> PopularityReport {
        self.placer.take_popularity_report()
    }

    /// Judges by the reports of all instances of its zone.
    pub(super) fn judge(
        &mut self,
        now: TimeMs,
        reports: &[PopularityReport],
        configuration: &Configuration,
    ) -> (Vec<PopularityDecision>, Vec<ObjectMove>) {
        for report in reports {
            self.placer.apply_popularity_report(now, report);
        }
        let decisions = self.placer.decide_popularity(now, self.pool.topology());
        let moves = self
            .placer
            .decide_object_moves(now, &self.pool, configuration);
        (decisions, moves)
    }

    pub(super) fn told(
        &mut self,
        now: TimeMs,
        by: &ids::InstanceId,
        verdicts: &[PopularityDecision],
        moves: &[ObjectMove],
    ) {
        self.placer
            .apply_popularity_decisions(now, by, verdicts, moves);
    }

    fn baseline(&mut self, request: &PlacementRequest<'_>, random: &mut impl rand::Rng) -> Pick {
        let servers: Vec<_> = self
            .pool
            .servers()
            .filter(|server| server.entry.service == *request.service)
            .filter(|server| !request.tried.contains(&server.entry.id))
            .collect();
        let one = |random: &mut _| servers.choose(random).copied();
        let chosen = match self.policy {
            Policy::RoundRobin => {
                self.last += 1;
                servers.get(self.last % servers.len()).copied()
            }
            Policy::LeastInFlight => {
                let least = servers.iter().map(|server| server.in_flight()).min();
                let all: Vec<_> = servers
                    .iter()
                    .filter(|server| Some(server.in_flight()) == least)
                    .collect();
                all.choose(random).map(|server| **server)
            }
            Policy::TwoChoices => [one(random), one(random)]
                .into_iter()
                .flatten()
                .min_by_key(|server| server.in_flight()),
            _ => one(random),
        };
        let chosen = chosen.expect("there are more servers than tries");
        self.pick(&chosen.entry.id.clone())
            .expect("a server of the pool")
    }

    /// A choice that was made without the placer.
    pub(super) fn pick(&self, server: &ids::BackendServerId) -> Option<Pick> {
        let entry = &self.pool.server(server)?.entry;
        Some(Pick {
            server: entry.id.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            expected_ms: 0.0,
            first_ms: 0.0,
            min_ms: 0.0,
            is_warm: false,
            had_room: false,
            report_age_ms: None,
            was_sent: false,
            remembered_ms: 0.0,
            passed_over: None,
            load: 0.0,
            rank: 0,
        })
    }

    pub(super) fn sent(&mut self, now: TimeMs, exchange: ExchangeId, pick: &Pick) {
        if let Some(mut server) = self.pool.server_mut(&pick.server) {
            server.record_sent(now, exchange, pick.expected_ms);
        }
    }

    pub(super) fn ended(
        &mut self,
        now: TimeMs,
        exchange: ExchangeId,
        request: &PlacementRequest<'_>,
        pick: &Pick,
        end: ExchangeEnd,
        load: Option<LoadReport>,
    ) {
        let report = ServerReport {
            load,
            ..ServerReport::default()
        };
        let took_ms = self
            .pool
            .server_mut(&pick.server)
            .and_then(|mut server| server.record_end(now, exchange, end, report));
        if let (ExchangeEnd::Answered, Some(took_ms)) = (end, took_ms) {
            let answered = AnsweredRequest {
                route: request.route,
                pick,
                object: request.object,
                bytes: EXCHANGE_BYTES,
                took_ms,
                has_waited: load.is_some_and(|load| load.waiting > 0),
                time_factor: None,
            };
            self.placer.record_answer(now, &mut self.pool, &answered);
        }
    }
}
