//! Decides which objects of a route are popular, from the requests of a whole zone.
//!
//! An object is the item that a client's request names. An aggregator is one of the instances that merge the reports of
//! their zone. A first run is the first request for an object on a server, which is slow.
//!
//! A server for an object in each zone saves traffic between zones. Each such server costs one first run and a place
//! among the few recent objects for which a server is faster. The saving exceeds the cost only for objects that are
//! requested often. A single instance sees too few of a zone's requests to decide, and instances that decide
//! differently use different servers for an object. All instances therefore send a sample of the requested objects to
//! the aggregators of the zone, which decide and send their decisions to the other instances.

use std::collections::{BTreeMap, HashMap};

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::placement::PlacementSettings;
use crate::placement::object_moves::{MovesByObject, ObjectMove};
use crate::placement::route_sizes::RouteSizes;
use crate::placement::sample::{ObjectSample, RouteKey};

/// Maximum number of objects of one route in the report of an instance.
const MAX_REPORTED_OBJECTS: usize = 12;
/// Maximum number of objects of one route in the merged sample of a zone.
const MAX_SAMPLED_OBJECTS: usize = 512;
/// Maximum number of routes in a report.
const MAX_REPORTED_ROUTES: usize = 6;
/// Maximum number of decisions in one message, so that the message fits a datagram.
const MAX_DECISIONS: usize = 64;
/// Minimum number of sampled requests of a route for a decision before `MAX_WINDOW_MS`.
const MIN_WINDOW_REQUESTS: u32 = 128;
/// Time after which a decision is made from fewer requests than `MIN_WINDOW_REQUESTS`.
const MAX_WINDOW_MS: u64 = 4_000;
/// Number of steps in which the objects of a route gain a server in each zone, or lose it again. In a single step,
/// the slow first runs of all objects would come at once.
pub const POPULARITY_STEPS: u8 = 4;
/// Time after which decisions expire if no aggregator repeats them.
const DECISION_LIFETIME_MS: u64 = 10_000;
/// Time without decisions of the zone's first aggregator by name after which another aggregator's decisions apply.
const AGGREGATOR_TIMEOUT_MS: u64 = 4_000;
/// Lower bound of a measured rate of requests per object; lower rates make no difference to the decision.
const MIN_RATE_PER_S: f64 = 0.001;
/// Number of bisection steps in the search for the requests per object; each step halves the error.
const SEARCH_STEPS: u32 = 40;
/// Upper bound of the search: no route has this many requests per object in a window.
const MAX_REQUESTS_PER_OBJECT: f64 = 1_000.0;

/// A sample of the requested objects of each route, counted by one instance since its previous report.
pub type PopularityReport = Vec<(RouteKey, ObjectSample)>;

/// Which share of a route's objects has a server in each zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PopularityDecision {
    /// Key of the route: a hash of the route's name.
    pub route: RouteKey,
    /// The share of the route's objects, from 0 for none to [`POPULARITY_STEPS`] for all.
    pub steps: u8,
}

/// Merged sample of the requested objects, and state of the decision, for one route at an aggregator.
#[derive(Debug, Default)]
struct RoutePopularity {
    window_start: TimeMs,
    sample: ObjectSample,
    requests_per_object_s: Option<f64>,
    is_popular: bool,
    steps: u8,
}

impl RoutePopularity {
    fn new(now: TimeMs) -> Self {
        Self {
            window_start: now,
            ..Self::default()
        }
    }

    /// Updates the decision if the merged sample is large or old enough. Each call changes `steps` by at most one.
    fn decide(&mut self, now: TimeMs, settings: &PlacementSettings, other_zone_cost: f64) {
        let span_ms = now.since(self.window_start).get();
        if self.sample.requests() >= MIN_WINDOW_REQUESTS || span_ms >= MAX_WINDOW_MS {
            let span_s = (span_ms as f64 / 1_000.0).max(0.001);
            let (requests, distinct) = (self.sample.requests(), self.sample.distinct());
            let measured_per_s = requests_per_object(requests, distinct) / span_s;
            let measured_per_s = measured_per_s.max(MIN_RATE_PER_S);
            let previous_per_s = self.requests_per_object_s.unwrap_or(measured_per_s);
            // Rates span several powers of ten. The geometric mean weighs a tenfold rise and a tenfold fall equally.
            let requests_per_object_s = (previous_per_s * measured_per_s).sqrt();
            // Hysteresis: with one limit, a rate close to it would move objects back and forth.
            let limit_per_s = if self.is_popular {
                settings.rare_cost_per_s
            } else {
                settings.popular_cost_per_s
            };
            self.requests_per_object_s = Some(requests_per_object_s);
            self.is_popular = requests_per_object_s * other_zone_cost > limit_per_s;
            self.window_start = now;
            self.sample = ObjectSample::default();
        }
        self.steps = if self.is_popular {
            (self.steps + 1).min(POPULARITY_STEPS)
        } else {
            self.steps.saturating_sub(1)
        };
    }
}

/// The active decisions, which one aggregator has made.
#[derive(Debug)]
struct ReceivedDecisions {
    by: ids::InstanceId,
    at: TimeMs,
    steps: HashMap<RouteKey, u8>,
    moves: MovesByObject,
}

/// Request counts of this instance, the zone's merged samples if this instance is an aggregator, and active decisions.
#[derive(Debug, Default)]
pub(super) struct Popularity {
    requests: HashMap<RouteKey, ObjectSample>,
    routes: BTreeMap<RouteKey, RoutePopularity>,
    received: Option<ReceivedDecisions>,
}

impl Popularity {
    /// Counts a request for an object.
    pub(super) fn record(&mut self, route: &str, object: u64) {
        let requests = self.requests.entry(RouteKey::of(route)).or_default();
        requests.record(object, MAX_REPORTED_OBJECTS);
    }

    /// Returns the request counts since the last report, with the routes with most requests first.
    pub(super) fn take_report(&mut self) -> PopularityReport {
        let mut report: PopularityReport = self.requests.drain().collect();
        let scale = |sample: &ObjectSample| u64::from(sample.requests()) << sample.halvings();
        report.sort_unstable_by_key(|(_, sample)| std::cmp::Reverse(scale(sample)));
        report.truncate(MAX_REPORTED_ROUTES);
        report
    }

    /// Merges a report of an instance of the zone; only an aggregator calls this.
    pub(super) fn apply_popularity_report(&mut self, now: TimeMs, report: &PopularityReport) {
        for (route, sample) in report {
            let state = self.routes.entry(*route);
            let state = state.or_insert_with(|| RoutePopularity::new(now));
            state.sample.merge(sample, MAX_SAMPLED_OBJECTS);
        }
    }

    /// Returns the decisions to send to the zone; only an aggregator calls this.
    pub(super) fn decide(
        &mut self,
        now: TimeMs,
        settings: &PlacementSettings,
        sizes: &RouteSizes,
    ) -> Vec<PopularityDecision> {
        for (route, state) in &mut self.routes {
            let other_zone_cost = settings.other_zone_cost(sizes.kilobytes(*route));
            state.decide(now, settings, other_zone_cost);
        }
        self.routes
            .retain(|_, state| state.steps > 0 || !state.sample.is_empty());
        let routes = self.routes.iter();
        routes
            .take(MAX_DECISIONS)
            .map(|(route, state)| PopularityDecision {
                route: *route,
                steps: state.steps,
            })
            .collect()
    }

    /// Applies the decisions of the aggregator `by`.
    ///
    /// Of several aggregators, the decisions of the first aggregator by name apply, so that all instances agree.
    /// Returns whether they apply.
    pub(super) fn apply_popularity_decisions(
        &mut self,
        now: TimeMs,
        by: &ids::InstanceId,
        decisions: &[PopularityDecision],
        moves: &[ObjectMove],
    ) -> bool {
        let is_first = self
            .received
            .as_ref()
            .is_none_or(|last| *by <= last.by || now.since(last.at).get() >= AGGREGATOR_TIMEOUT_MS);
        if is_first {
            let steps = decisions
                .iter()
                .map(|decision| (decision.route, decision.steps));
            self.received = Some(ReceivedDecisions {
                by: by.clone(),
                at: now,
                steps: steps.collect(),
                moves: moves.iter().map(|one| (one.object, one.steps)).collect(),
            });
        }
        is_first
    }

    /// Returns by how many servers of its ring an object is moved according to the active decisions.
    pub(super) fn moved_steps(&self, now: TimeMs, object: u64) -> usize {
        let Some(received) = &self.received else {
            return 0;
        };
        if now.since(received.at).get() >= DECISION_LIFETIME_MS {
            return 0;
        }
        let steps = received.moves.get(&(object as u32));
        steps.copied().map_or(0, usize::from)
    }

    /// Returns whether an object has a server in each zone according to the active decisions.
    pub(super) fn is_popular(&self, now: TimeMs, route: &str, object: u64) -> bool {
        let Some(received) = &self.received else {
            return false;
        };
        if now.since(received.at).get() >= DECISION_LIFETIME_MS {
            return false;
        }
        let steps = received.steps.get(&RouteKey::of(route)).copied();
        // These bits of the hash neither place objects on servers nor select objects for the samples.
        let step_of_object = (object >> 24) as u8 % POPULARITY_STEPS;
        step_of_object < steps.unwrap_or(0)
    }
}

/// Returns the mean number of requests per object, where `requests` requests named `distinct` different objects.
///
/// The mean includes objects without a request, so `requests / distinct` would be too high. The mean x follows from
/// the ratio of distinct objects to requests, which is (1 - e^-x) / x.
fn requests_per_object(requests: u32, distinct: usize) -> f64 {
    let share = distinct as f64 / f64::from(requests.max(1));
    if share >= 1.0 {
        return 0.0;
    }
    let (mut low, mut high) = (0.0_f64, MAX_REQUESTS_PER_OBJECT);
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        if -(-middle).exp_m1() / middle > share {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
