//! How often the objects of a route are asked for, in a whole zone.
//!
//! A copy of an object in each zone saves the way between zones, and costs one slow run and a place in a
//! server's memory. That pays for objects which are asked for often, and loses for all others. One instance of many
//! sees too little of a zone's requests to tell, and instances that disagree use different servers for an object. So
//! all report a sample of what they are asked for to those that speak for the zone, which judge and tell the others.

use std::collections::{BTreeMap, HashMap};

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::placement::PlacementSettings;
use crate::placement::sample::{ObjectSample, RouteKey};

/// Objects of a route in one instance's report, and in what is put together of a zone.
const MOST_REPORTED_OBJECTS: usize = 12;
const MOST_JUDGED_OBJECTS: usize = 512;
/// Routes in a report.
const MOST_REPORTED_ROUTES: usize = 6;
/// Routes that are judged: what is told of them fits a datagram.
const MOST_VERDICTS: usize = 64;
/// Requests that are enough to judge by, and the time after which fewer must do.
const ENOUGH_REQUESTS: u32 = 128;
const LONGEST_WINDOW_MS: u64 = 4_000;
/// The steps in which a route's objects get their further servers, or lose them: were it one, the first runs of all
/// objects would come at once.
pub const POPULARITY_STEPS: u8 = 4;
/// How long a verdict holds that is not repeated.
const VERDICT_LASTS_MS: u64 = 10_000;
/// How long the first speaker's word goes before another one's.
const SPEAKER_LASTS_MS: u64 = 4_000;
/// A rate below which it makes no difference.
const LEAST_RATE_PER_S: f64 = 0.001;
/// Steps of the search for a rate; each halves the error.
const SEARCH_STEPS: u32 = 40;
/// More requests an object and window than any route sees.
const MOST_REQUESTS: f64 = 1_000.0;

/// What an instance was asked for, by route.
pub type PopularityReport = Vec<(RouteKey, ObjectSample)>;

/// How far a route's objects have servers in each zone: a part of all objects, in steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PopularityDecision {
    /// The route.
    pub route: RouteKey,
    /// The part, in steps of [`POPULARITY_STEPS`].
    pub steps: u8,
}

/// What is known of one route at an instance that speaks for its zone.
#[derive(Debug, Default)]
struct Tally {
    since: TimeMs,
    sample: ObjectSample,
    per_object_s: Option<f64>,
    is_popular: bool,
    steps: u8,
}

impl Tally {
    fn new(now: TimeMs) -> Self {
        Self {
            since: now,
            ..Self::default()
        }
    }

    /// Judges by what was put together, if that is enough.
    fn judge(&mut self, now: TimeMs, settings: &PlacementSettings) {
        let span_ms = now.since(self.since).get();
        if self.sample.requests() >= ENOUGH_REQUESTS || span_ms >= LONGEST_WINDOW_MS {
            let span_s = (span_ms as f64 / 1_000.0).max(0.001);
            let (requests, different) = (self.sample.requests(), self.sample.different());
            let found = requests_an_object(requests, different) / span_s;
            let found = found.max(LEAST_RATE_PER_S);
            let known = self.per_object_s.unwrap_or(found);
            // Rates are met over several powers of ten; in their logarithms a tenfold change counts the same up and down.
            let per_object_s = (known * found).sqrt();
            // Two limits, so that a rate near one of them doesn't move objects to and fro.
            let limit_per_s = if self.is_popular {
                settings.rare_per_s
            } else {
                settings.popular_per_s
            };
            self.per_object_s = Some(per_object_s);
            self.is_popular = per_object_s > limit_per_s;
            self.since = now;
            self.sample = ObjectSample::default();
        }
        self.steps = if self.is_popular {
            (self.steps + 1).min(POPULARITY_STEPS)
        } else {
            self.steps.saturating_sub(1)
        };
    }
}

#[derive(Debug)]
struct Told {
    by: ids::InstanceId,
    at: TimeMs,
    steps: HashMap<RouteKey, u8>,
}

/// How often objects are asked for, by route.
#[derive(Debug, Default)]
pub(super) struct Popularity {
    asked: HashMap<RouteKey, ObjectSample>,
    tallies: BTreeMap<RouteKey, Tally>,
    told: Option<Told>,
}

impl Popularity {
    /// Notes a request for an object.
    pub(super) fn note(&mut self, route: &str, object: u64) {
        let asked = self.asked.entry(RouteKey::of(route)).or_default();
        asked.note(object, MOST_REPORTED_OBJECTS);
    }

    /// What was asked for since the last report, the busiest routes first.
    pub(super) fn take_report(&mut self) -> PopularityReport {
        let mut report: PopularityReport = self.asked.drain().collect();
        let scale = |sample: &ObjectSample| u64::from(sample.requests()) << sample.halvings();
        report.sort_unstable_by_key(|(_, sample)| std::cmp::Reverse(scale(sample)));
        report.truncate(MOST_REPORTED_ROUTES);
        report
    }

    /// Takes in a report, at an instance that speaks for the zone.
    pub(super) fn apply_popularity_report(&mut self, now: TimeMs, report: &PopularityReport) {
        for (route, sample) in report {
            let tally = self.tallies.entry(*route);
            let tally = tally.or_insert_with(|| Tally::new(now));
            tally.sample.merge(sample, MOST_JUDGED_OBJECTS);
        }
    }

    /// What the zone is to hear, from an instance that speaks for it.
    pub(super) fn judge(
        &mut self,
        now: TimeMs,
        settings: &PlacementSettings,
    ) -> Vec<PopularityDecision> {
        for tally in self.tallies.values_mut() {
            tally.judge(now, settings);
        }
        self.tallies
            .retain(|_, tally| tally.steps > 0 || !tally.sample.is_empty());
        let tallies = self.tallies.iter();
        tallies
            .take(MOST_VERDICTS)
            .map(|(route, tally)| PopularityDecision {
                route: *route,
                steps: tally.steps,
            })
            .collect()
    }

    /// Takes in what an instance says that speaks for the zone.
    ///
    /// Of two that speak, the first one's word counts, so that all instances do the same.
    pub(super) fn apply_popularity_decisions(
        &mut self,
        now: TimeMs,
        by: &ids::InstanceId,
        verdicts: &[PopularityDecision],
    ) {
        let is_first = self
            .told
            .as_ref()
            .is_none_or(|told| *by <= told.by || now.since(told.at).get() >= SPEAKER_LASTS_MS);
        if is_first {
            let steps = verdicts.iter().map(|one| (one.route, one.steps));
            self.told = Some(Told {
                by: by.clone(),
                at: now,
                steps: steps.collect(),
            });
        }
    }

    /// Whether an object is asked for often enough to have a server in each zone.
    pub(super) fn is_popular(&self, now: TimeMs, route: &str, object: u64) -> bool {
        let Some(told) = &self.told else {
            return false;
        };
        if now.since(told.at).get() >= VERDICT_LASTS_MS {
            return false;
        }
        let steps = told.steps.get(&RouteKey::of(route)).copied();
        // The middle of the hash: neither the part that places objects nor the one that samples them.
        let step_of_object = (object >> 24) as u8 % POPULARITY_STEPS;
        step_of_object < steps.unwrap_or(0)
    }
}

/// How often each object was asked for, where `requests` named so many different ones.
///
/// Objects that nobody asked for yet count too, so requests divided by different objects would be too much:
/// the number of requests an object, x, follows from the share of different ones, (1 - e^-x) / x.
fn requests_an_object(requests: u32, different: usize) -> f64 {
    let share = different as f64 / f64::from(requests.max(1));
    if share >= 1.0 {
        return 0.0;
    }
    let (mut low, mut high) = (0.0_f64, MOST_REQUESTS);
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
