//! What clients ask, and where their requests are sent.

use damaskvane_routing::placement::{self, Choice, Pick, PlacementRequest, Refusal};
use damaskvane_routing::pool::ExchangeId;
use damaskvane_routing::retry::Progress;
use rand::RngExt;

use super::{Call, Event, Flight, World};
use crate::placement::backend::Job;
use crate::placement::deployment::Kind;
use crate::placement::oracle::Wish;
use crate::placement::policy::Policy;
use crate::placement::traffic::Wanted;

impl World<'_> {
    pub(super) fn arrive(&mut self, wanted: Wanted) {
        let route = &self.deployment.kinds[wanted.kind].route;
        let parts = self.configuration.route(&route.host, &route.path_prefix);
        let parts = parts.map_or(&[][..], |route| &route.destinations);
        let part = self.splits.next(&route.name, parts).unwrap_or_default();
        let service = self.deployment.kinds[wanted.kind].services[part].0;
        let service_id = self.deployment.service_id(service);
        self.calls.push(Call {
            progress: Progress::new(route.kind, route.attempts),
            timeout_at_ms: 0,
            instance: self.first_instances[wanted.zone] + wanted.instance,
            service,
            object: placement::object_hash(&service_id, &route.name, &wanted.object),
            wanted,
            tried: Vec::new(),
            returns: 0,
            flight: None,
            is_over: false,
        });
        self.ask(self.calls.len() - 1);
    }

    /// A client sends its request: a new try for the instance.
    pub(super) fn ask(&mut self, call: usize) {
        let kind = self.kind(call);
        let deadline_ms = self.calls[call].wanted.asked_ms + kind.deadline_ms;
        let timeout_ms = kind
            .route
            .timeout_ms
            .min(deadline_ms.saturating_sub(self.now_ms));
        let progress = Progress::new(kind.route.kind, kind.route.attempts);
        let one = &mut self.calls[call];
        one.progress = progress;
        one.tried.clear();
        one.timeout_at_ms = self.now_ms + timeout_ms;
        self.schedule(timeout_ms, Event::Timeout(call));
        self.send(call);
    }

    pub(super) fn send(&mut self, call: usize) {
        let choice = if self.case.policy == Policy::Oracle {
            self.foresee(call)
        } else {
            self.choose(call)
        };
        match choice {
            Choice::Send(pick) => self.fly(call, pick),
            Choice::Refuse(refusal) => self.refuse(call, &refusal),
        }
    }

    fn choose(&mut self, call: usize) -> Choice {
        let now = self.now();
        let one = &self.calls[call];
        let request = PlacementRequest {
            team: None,
            route: &self.deployment.kinds[one.wanted.kind].route,
            service: &self.deployment.service_id(one.service),
            object: Some(one.object),
            tried: &one.tried,
            remaining_ms: one.timeout_at_ms.saturating_sub(self.now_ms),
            spread: self.random.random(),
        };
        let instance = &mut self.instances[one.instance];
        instance.choose(now, &self.configuration, &request, &mut self.random)
    }

    /// The oracle's choice; a refusal where every server is full.
    fn foresee(&mut self, call: usize) -> Choice {
        const RETURN_MS: u64 = 200;
        let one = &self.calls[call];
        let kind = &self.deployment.kinds[one.wanted.kind];
        let wish = Wish {
            kind,
            job: job(one, kind, 0),
            service: one.service,
            zone: one.wanted.zone,
            waited_ms: (self.now_ms - one.wanted.asked_ms) as f64,
        };
        let tried: Vec<usize> = one
            .tried
            .iter()
            .filter_map(|server| self.numbers.get(server).copied())
            .collect();
        let (places, backends) = (&self.places, &self.backends);
        let chosen = self
            .oracle
            .choose(&self.deployment, places, backends, wish, &tried);
        let pick = chosen.and_then(|number| self.instances[one.instance].pick(&places[number].id));
        pick.map_or(
            Choice::Refuse(Refusal {
                reason: placement::RefusalReason::Overloaded,
                retry_after_ms: RETURN_MS,
            }),
            Choice::Send,
        )
    }

    fn fly(&mut self, call: usize, pick: Pick) {
        let Some(backend) = self.numbers.get(&pick.server).copied() else {
            return;
        };
        let flight = self.flights.len();
        let way_ms = self.way_ms(call, backend);
        let exchange = ExchangeId(flight as u64);
        let now = self.now();
        let instance = self.calls[call].instance;
        self.instances[instance].sent(now, exchange, &pick);
        self.calls[call].flight = Some(flight);
        self.calls[call].tried.push(pick.server.clone());
        self.flights.push(Flight {
            call,
            backend,
            pick,
            load: self.backends[backend].load(),
        });
        self.schedule(way_ms, Event::Reach(flight));
    }

    pub(super) fn way_ms(&self, call: usize, backend: usize) -> u64 {
        let zone = self.calls[call].wanted.zone;
        self.deployment
            .round_trip_ms(zone, self.places[backend].zone)
            / 2
    }
}

pub(super) fn job(call: &Call, kind: &Kind, flight: usize) -> Job {
    Job {
        flight,
        object: call.object,
        work_ms: call.wanted.work_ms,
        warm_gain: kind.warm_gain,
    }
}
