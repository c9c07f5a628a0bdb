//! The instances of one zone: what they have heard, and how they answer a look-up.

use damaskvane_core::time;
use damaskvane_steering::{digest, input, picker, plan, planner, shift, staleness};
use rand::RngExt;

use crate::steering::deployment::Deployment;
use crate::steering::fault::Fault;
use crate::steering::strategy::Strategy;

/// What a client is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    Zone(usize),
    Refused,
}

/// Who asks.
#[derive(Debug, Clone, Copy)]
pub(super) struct Asker {
    pub(super) service: usize,
    pub(super) source: usize,
    pub(super) hash: u64,
}

/// Where the shift of a run goes.
pub(super) const SHIFT_SOURCE: usize = 0;
pub(super) const SHIFT_DESTINATION: usize = 4;
pub(super) const SHIFT_PERMILLE: u32 = 400;

#[derive(Debug)]
pub(super) struct Decider {
    strategy: Strategy,
    pub(super) view: digest::View,
    planner: Option<planner::Planner>,
    plan: plan::Plan,
    topology: input::Topology,
    shift: Option<shift::Stage>,
    turn: usize,
}

impl Decider {
    pub(super) fn new(deployment: &Deployment, strategy: Strategy) -> Self {
        let planner = match strategy {
            Strategy::Planned(policy) => Some(planner::Planner::new(planner::Settings {
                policy,
                ..planner::Settings::default()
            })),
            _ => None,
        };
        Self {
            strategy,
            view: digest::View::default(),
            planner,
            plan: plan::Plan::empty(time::TimeMs::ZERO),
            topology: deployment.topology.clone(),
            shift: None,
            turn: 0,
        }
    }

    pub(super) fn start_shift(&mut self, now: time::TimeMs) {
        let order = shift::Order {
            target_permille: SHIFT_PERMILLE,
            cap_permille: 300,
            window: time::SpanMs::new(30_000),
            first_step_permille: 50,
            warm_up: time::SpanMs::new(5_000),
            recovery_time: time::SpanMs::new(15_000),
        };
        let shift = shift::Shift::accept(order).start(now);
        self.shift = Some(shift::Stage::Ramping(shift));
    }

    /// Makes the next plan and returns the number of broken invariants.
    pub(super) fn plan(&mut self, deployment: &Deployment, now: time::TimeMs) -> u32 {
        let Some(planner) = &self.planner else {
            return 0;
        };
        if let Some(shift) = self.shift.take() {
            let shift = shift.advance(now, self.signal(deployment, now));
            self.topology.movements = vec![input::Movement {
                service: deployment.services[0].id.clone(),
                source: deployment.zones[SHIFT_SOURCE].clone(),
                destination: deployment.zones[SHIFT_DESTINATION].clone(),
                moved_permille: shift.progress().moved_permille,
            }];
            self.shift = Some(shift);
        }
        let has_plan = !self.plan.services.is_empty();
        let previous = has_plan.then_some(&self.plan);
        self.plan = planner.plan(&self.topology, &self.view, previous, now);
        self.plan.broken_invariants
    }

    fn signal(&self, deployment: &Deployment, now: time::TimeMs) -> shift::Signal {
        let zone = &deployment.zones[SHIFT_DESTINATION];
        let age = self.view.age(zone, staleness::Limits::default(), now);
        let report = self
            .view
            .digest(zone)
            .and_then(|held| held.services.get(&deployment.services[0].id));
        match report {
            _ if age != staleness::Age::Fresh => shift::Signal::Unknown,
            Some(report) if report.shows_overload() => shift::Signal::Overload,
            _ => shift::Signal::Healthy,
        }
    }

    pub(super) fn answer(
        &mut self,
        deployment: &Deployment,
        asker: Asker,
        now: (time::TimeMs, Fault),
        rng: &mut impl RngExt,
    ) -> Answer {
        if self.planner.is_some() {
            return self.planned(deployment, asker, now.0);
        }
        let second = now.0.get() / 1_000;
        let moves_at_once = now.1 == Fault::ColdShift && now.1.is_on(second);
        let is_moved = asker.service == 0
            && asker.source == SHIFT_SOURCE
            && asker.hash % 1_000 < u64::from(SHIFT_PERMILLE);
        if moves_at_once && is_moved {
            return Answer::Zone(SHIFT_DESTINATION);
        }
        let live = |zone: &usize| {
            self.view.reachability(&deployment.zones[*zone]) == staleness::Reachability::Connected
        };
        let zones: Vec<_> = deployment
            .nearest(asker.source)
            .iter()
            .copied()
            .filter(live)
            .collect();
        let zone = match self.strategy {
            Strategy::Random => zones[rng.random_range(0..zones.len())],
            Strategy::RoundRobin => {
                let mut zones = zones;
                zones.sort_unstable();
                self.turn += 1;
                zones[self.turn % zones.len()]
            }
            Strategy::LeastLoad => self.least_loaded(deployment, asker.service, &zones),
            Strategy::Nearest | Strategy::Planned(_) => zones[0],
        };
        Answer::Zone(zone)
    }

    fn least_loaded(&self, deployment: &Deployment, service: usize, zones: &[usize]) -> usize {
        let load = |zone: &usize| {
            let held = self.view.digest(&deployment.zones[*zone]);
            let report = held.and_then(|held| held.services.get(&deployment.services[service].id));
            let running = report.map_or(0, |report| u64::from(report.running.get()));
            running * 1_000 / u64::from(deployment.services[service].slots[*zone].max(1))
        };
        zones.iter().copied().min_by_key(load).unwrap_or_default()
    }

    fn planned(&self, deployment: &Deployment, asker: Asker, now: time::TimeMs) -> Answer {
        let client = picker::Client {
            zone: deployment.zones[asker.source].clone(),
            hash: asker.hash,
        };
        let service = &deployment.services[asker.service].id;
        let picked = picker::pick(&self.plan, service, &client, now);
        let first = picked.ok().and_then(|zones| zones.into_iter().next());
        let index = first.and_then(|zone| deployment.zones.binary_search(&zone).ok());
        index.map_or(Answer::Refused, Answer::Zone)
    }
}
