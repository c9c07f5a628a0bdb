//! Virtual time: requests, servers and the instances between them.

mod asking;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::configuration::Configuration;
use damaskvane_routing::placement::{Pick, PlacementRequest, Refusal};
use damaskvane_routing::pool::{ExchangeEnd, ExchangeId, LoadReport};
use damaskvane_routing::retry::Progress;
use damaskvane_routing::split::Splits;
use rand::SeedableRng;

use crate::placement::backend::{Arrival, Backend};
use crate::placement::case::{Case, Length, Model, Pattern};
use crate::placement::deployment::{self, Deployment, Kind, Place};
use crate::placement::drawn;
use crate::placement::instance::Instance;
use crate::placement::measure::{Ending, Measured};
use crate::placement::oracle::Oracle;
use crate::placement::traffic::{self, TROUBLE_AT_MS, TROUBLE_MS, Wanted};

/// A part of the servers that turns slow: one in so many.
const SLOW_ONE_IN: usize = 6;
const SLOW_FACTOR: f64 = 5.0;
/// How often a client comes back after a refusal, and how soon one does that doesn't wait.
const MOST_RETURNS: u32 = 1;
const MOST_HASTY_RETURNS: u32 = 3;
const HASTY_RETURN_MS: u64 = 20;

/// How often zones judge which objects are popular.
const JUDGED_MS: u64 = 1_000;

/// Something that happens at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client asks, for the first time or again.
    Ask(usize),
    /// A request reaches its server.
    Reach(usize),
    /// A server is done with a request.
    Done(usize),
    /// What a server says reaches the instance.
    Heard(usize, End),
    /// The route's time is over.
    Timeout(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Answered,
    Shed,
}

/// A request of a client.
#[derive(Debug)]
struct Call {
    wanted: Wanted,
    instance: usize,
    service: usize,
    object: u64,
    progress: Progress,
    tried: Vec<ids::BackendServerId>,
    returns: u32,
    timeout_at_ms: u64,
    flight: Option<usize>,
    is_over: bool,
}

/// A request on its way to a server, there, or on its way back.
#[derive(Debug)]
struct Flight {
    call: usize,
    backend: usize,
    pick: Pick,
    load: LoadReport,
}

struct World<'a> {
    case: &'a Case,
    deployment: Deployment,
    configuration: Configuration,
    random: rand_pcg::Pcg32,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    instances: Vec<Instance>,
    /// The first instance of each zone.
    first_instances: Vec<usize>,
    splits: Splits,
    oracle: Oracle,
    backends: Vec<Backend>,
    places: Vec<Place>,
    numbers: BTreeMap<ids::BackendServerId, usize>,
    calls: Vec<Call>,
    flights: Vec<Flight>,
    measured: Measured,
}

/// Runs a case.
#[must_use]
pub fn run_case(case: &Case, length: Length) -> Measured {
    let mut world = World::new(case, length);
    for now_ms in 0..length.run_ms {
        world.now_ms = now_ms;
        world.trouble();
        if now_ms > 0 && now_ms.is_multiple_of(JUDGED_MS) {
            world.judge();
        }
        let wanted = traffic::arrivals(case, &world.deployment, now_ms, &mut world.random);
        for wanted in wanted {
            world.arrive(wanted);
        }
        world.play_until(now_ms);
    }
    world.play_until(u64::MAX);
    world.measured
}

impl<'a> World<'a> {
    fn new(case: &'a Case, length: Length) -> Self {
        let deployment = match case.model {
            Model::Standard => Deployment::standard(),
            Model::Drawn => drawn::draw(case.seed),
        };
        let places = deployment.places();
        let named = places.iter().enumerate();
        let numbers = named.map(|(number, place)| (place.id.clone(), number));
        let mut instances = Vec::new();
        let mut first_instances = Vec::new();
        for (zone, of_zone) in deployment.zones.iter().enumerate() {
            first_instances.push(instances.len());
            let new = (0..of_zone.instances).map(|_| Instance::new(&deployment, case.policy, zone));
            instances.extend(new);
        }
        let (kinds, zones) = (deployment.kinds.len(), deployment.zones.len());
        let services = &deployment.services;
        Self {
            case,
            measured: Measured::new(kinds, zones, length.run_ms),
            configuration: deployment.configuration(),
            random: rand_pcg::Pcg32::seed_from_u64(case.seed),
            now_ms: 0,
            events: BinaryHeap::new(),
            scheduled: 0,
            instances,
            first_instances,
            splits: Splits::default(),
            oracle: Oracle::default(),
            backends: places
                .iter()
                .map(|place| Backend::new(&services[place.service]))
                .collect(),
            numbers: numbers.collect(),
            places,
            calls: Vec::new(),
            flights: Vec::new(),
            deployment,
        }
    }

    fn kind(&self, call: usize) -> &Kind {
        &self.deployment.kinds[self.calls[call].wanted.kind]
    }

    fn trouble(&mut self) {
        if self.case.pattern != Pattern::Slow {
            return;
        }
        let slowness = match self.now_ms {
            TROUBLE_AT_MS => SLOW_FACTOR,
            now_ms if now_ms == TROUBLE_AT_MS + TROUBLE_MS => 1.0,
            _ => return,
        };
        for backend in self.backends.iter_mut().step_by(SLOW_ONE_IN) {
            backend.slowness = slowness;
        }
    }

    /// The first instance of each zone judges by what all of them were asked for, and tells them.
    fn judge(&mut self) {
        let now = self.now();
        let ends = self.first_instances.iter().skip(1).copied();
        let ends: Vec<usize> = ends.chain([self.instances.len()]).collect();
        for (first, end) in self.first_instances.iter().copied().zip(ends) {
            let of_zone = &mut self.instances[first..end];
            let reports: Vec<_> = of_zone
                .iter_mut()
                .map(Instance::take_popularity_report)
                .collect();
            let (verdicts, moves) = of_zone[0].judge(now, &reports, &self.configuration);
            let by = deployment::id("speaker");
            for instance in of_zone {
                instance.told(now, &by, &verdicts, &moves);
            }
        }
    }

    fn schedule(&mut self, in_ms: u64, event: Event) {
        self.scheduled += 1;
        let at_ms = self.now_ms + in_ms;
        self.events.push(Reverse((at_ms, self.scheduled, event)));
    }

    fn play_until(&mut self, until_ms: u64) {
        while let Some(Reverse((at_ms, _, event))) = self.events.peek().copied() {
            if at_ms > until_ms {
                return;
            }
            self.events.pop();
            self.now_ms = at_ms;
            self.play(event);
        }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Ask(call) => self.ask(call),
            Event::Reach(flight) => self.reach(flight),
            Event::Done(flight) => self.done(flight),
            Event::Heard(flight, end) => self.heard(flight, end),
            Event::Timeout(call) => self.timeout(call),
        }
    }

    fn now(&self) -> TimeMs {
        TimeMs::new(self.now_ms)
    }

    fn reach(&mut self, flight: usize) {
        let Flight { call, backend, .. } = self.flights[flight];
        let job = asking::job(&self.calls[call], self.kind(call), flight);
        match self.backends[backend].arrive(job) {
            Arrival::Runs(work_ms) => self.schedule(work_ms, Event::Done(flight)),
            Arrival::Waits => {}
            Arrival::Shed => {
                self.measured.shed += 1;
                self.answer(flight, End::Shed);
            }
        }
    }

    fn done(&mut self, flight: usize) {
        let backend = self.flights[flight].backend;
        if let Some((next, work_ms)) = self.backends[backend].end() {
            self.schedule(work_ms, Event::Done(next.flight));
        }
        self.answer(flight, End::Answered);
    }

    fn answer(&mut self, flight: usize, end: End) {
        let Flight { call, backend, .. } = self.flights[flight];
        self.flights[flight].load = self.backends[backend].load();
        let way_ms = self.way_ms(call, backend);
        self.schedule(way_ms, Event::Heard(flight, end));
    }

    fn heard(&mut self, flight: usize, end: End) {
        let call = self.flights[flight].call;
        // A caller who was told that the time is over gets no later answer; the instance still learns.
        let is_awaited = self.calls[call].flight == Some(flight) && !self.calls[call].is_over;
        let ended = match end {
            End::Answered => ExchangeEnd::Answered,
            End::Shed => ExchangeEnd::Shed,
        };
        self.learn(flight, ended);
        if !is_awaited {
            return;
        }
        self.calls[call].flight = None;
        let progress = &mut self.calls[call].progress;
        progress.record(ended, SpanMs::ZERO);
        match end {
            End::Answered => {
                let took_ms = self.now_ms - self.calls[call].wanted.asked_ms;
                let wanted = &self.calls[call].wanted;
                let zones = &self.deployment.zones;
                let callers = zones[wanted.zone].region;
                let ran = zones[self.places[self.flights[flight].backend].zone].region;
                self.measured.note_region(callers, ran, wanted.asked_ms);
                self.end(call, Ending::Answered(took_ms));
            }
            End::Shed if self.calls[call].progress.may_try_again() => self.send(call),
            End::Shed => {
                let retry_after_ms = 200;
                self.come_back(call, retry_after_ms);
            }
        }
    }

    fn learn(&mut self, flight: usize, end: ExchangeEnd) {
        let now = self.now();
        let Flight { call, load, .. } = self.flights[flight];
        let one = &self.calls[call];
        let request = PlacementRequest {
            team: None,
            route: &self.deployment.kinds[one.wanted.kind].route,
            service: &self.deployment.service_id(one.service),
            object: Some(one.object),
            tried: &[],
            remaining_ms: 0,
            spread: 0.0,
        };
        let exchange = ExchangeId(flight as u64);
        let pick = &self.flights[flight].pick;
        self.instances[one.instance].ended(now, exchange, &request, pick, end, Some(load));
    }

    fn timeout(&mut self, call: usize) {
        let one = &mut self.calls[call];
        if one.is_over || one.timeout_at_ms > self.now_ms || one.flight.is_none() {
            return;
        }
        one.flight = None;
        self.end(call, Ending::TimedOut);
    }

    fn refuse(&mut self, call: usize, refusal: &Refusal) {
        self.come_back(call, refusal.retry_after_ms);
    }

    fn come_back(&mut self, call: usize, retry_after_ms: u64) {
        self.measured.refusals += 1;
        let one = &mut self.calls[call];
        let (most, in_ms) = if one.wanted.is_hasty {
            (MOST_HASTY_RETURNS, HASTY_RETURN_MS)
        } else {
            (MOST_RETURNS, retry_after_ms)
        };
        let kind = &self.deployment.kinds[one.wanted.kind];
        let deadline_ms = one.wanted.asked_ms + kind.deadline_ms;
        if one.returns >= most || self.now_ms + in_ms >= deadline_ms {
            self.end(call, Ending::Refused);
            return;
        }
        one.returns += 1;
        self.schedule(in_ms, Event::Ask(call));
    }

    fn end(&mut self, call: usize, ending: Ending) {
        let one = &mut self.calls[call];
        one.is_over = true;
        let kind = &self.deployment.kinds[one.wanted.kind];
        let earned = match ending {
            Ending::Answered(took_ms) if took_ms <= kind.route.objective_ms => kind.worth,
            Ending::Answered(_) => kind.late_worth,
            Ending::Refused | Ending::TimedOut => 0.0,
        };
        let whose = (one.wanted.kind, one.wanted.zone, one.wanted.asked_ms);
        self.measured.note(whose, (kind.worth, earned));
        self.measured.count(ending, kind.route.objective_ms);
    }
}
