//! Tests of how the instances of a zone decide together which objects are popular.
//!
//! Each instance counts a sample of its requests by object, and the zone's aggregator decides from the reports of all
//! instances. A first run is the slow run of a request on a server that has not handled the request's object recently.

mod support;

use damaskvane_core::ids;
use damaskvane_routing::placement::{
    self, AnsweredRequest, Choice, ObjectSample, POPULARITY_STEPS, Placer, PopularityDecision,
    PopularityReport,
};
use damaskvane_routing::pool::ServerPool;
use rand::{RngExt, SeedableRng};
use support::{at, configuration, placer, pool, pool_of, route, service_id, zone};

const INSTANCES: usize = 30;

fn aggregator() -> ids::InstanceId {
    "east-a-1".parse().expect("a name")
}

fn object(number: u64) -> u64 {
    placement::object_hash(&service_id(), "look", &number.to_string())
}

/// The instances of a zone, of which the first one is the aggregator.
struct Zone {
    placers: Vec<Placer>,
    random: rand_pcg::Pcg32,
    now_ms: u64,
}

impl Zone {
    fn new(seed: u64) -> Self {
        Self {
            placers: (0..INSTANCES).map(|_| placer("east-a")).collect(),
            random: rand_pcg::Pcg32::seed_from_u64(seed),
            now_ms: 0,
        }
    }

    /// Runs a second in which clients of the zone send `requests` requests for `objects` objects; returns the
    /// popularity decisions at its end.
    fn run_second(&mut self, requests: usize, objects: u64) -> Vec<PopularityDecision> {
        for _ in 0..requests {
            let instance = self.random.random_range(0..INSTANCES);
            let number = self.random.random_range(0..objects);
            self.placers[instance].record_object_request(&route(), object(number));
        }
        self.now_ms += 1_000;
        let now = at(self.now_ms);
        let reports: Vec<PopularityReport> = self
            .placers
            .iter_mut()
            .map(Placer::take_popularity_report)
            .collect();
        for report in &reports {
            self.placers[0].apply_popularity_report(now, report);
        }
        let decisions = self.placers[0].decide_popularity(now, pool().topology());
        for placer in &mut self.placers {
            placer.apply_popularity_decisions(now, &aggregator(), &decisions, &[]);
        }
        decisions
    }

    /// Records answered requests of a size at the aggregator.
    fn answer_requests(&mut self, mut pool: ServerPool, bytes: usize) {
        let (route, service) = (route(), service_id());
        for number in 0..100 {
            let request = support::request(&route, &service, object(number));
            let choice = self.placers[0].choose(at(0), &pool, &configuration(), &request, 1);
            let Choice::Send(pick) = choice else {
                panic!("refused");
            };
            let answered = AnsweredRequest {
                route: &route,
                pick: &pick,
                object: None,
                bytes,
                took_ms: 100,
                has_waited: false,
                time_factor: None,
            };
            self.placers[0].record_answer(at(0), &mut pool, &answered);
        }
    }

    /// Returns for each instance the zone to which the instance sends a request for the object `number`. For popular
    /// objects, this is always the zone of the instances.
    fn zones_of(&mut self, pool: &ServerPool, number: u64) -> Vec<String> {
        let (route, service) = (route(), service_id());
        let request = support::request(&route, &service, object(number));
        let now = at(self.now_ms);
        let choices = self
            .placers
            .iter_mut()
            .map(|placer| placer.choose(now, pool, &configuration(), &request, INSTANCES));
        choices
            .map(|choice| match choice {
                Choice::Send(pick) => pick.zone.to_string(),
                Choice::Refuse(refusal) => panic!("refused: {:?}", refusal.reason),
            })
            .collect()
    }
}

fn steps(decisions: &[PopularityDecision]) -> u8 {
    decisions.first().map_or(0, |decision| decision.steps)
}

/// Guards against instances of a large zone that each receive a few requests a second and decide differently which
/// objects are popular: each disagreement costs a first run on one more server.
#[test]
fn instances_with_few_requests_each_agree_on_popular_objects() {
    let pool = pool_of(&[("east-a", 6), ("east-b", 6), ("west-a", 6)]);
    for seed in 0..10 {
        let mut zone = Zone::new(seed);
        for _ in 0..12 {
            zone.run_second(180, 600);
        }
        let local = (0..100).filter(|number| {
            let zones = zone.zones_of(&pool, *number);
            assert!(zones.iter().all(|one| *one == zones[0]), "seed {seed}");
            zones[0] == "east-a"
        });
        assert!(local.count() >= 70, "seed {seed}");
    }
}

/// Guards against a server in each zone for objects that are requested only about once a minute: each further server of
/// an object costs a slow first run.
#[test]
fn rarely_requested_objects_get_no_further_servers() {
    for seed in 0..10 {
        let mut zone = Zone::new(seed);
        for _ in 0..20 {
            assert_eq!(steps(&zone.run_second(9, 600)), 0, "seed {seed}");
        }
    }
}

/// Replays requests at a rate at which a server in each zone pays for large messages and not for small ones. Guards
/// against slow first runs that save next to nothing, and against bytes between zones that one first run would save.
#[test]
fn objects_gain_a_server_in_each_zone_by_the_size_of_their_requests() {
    for (bytes, expected) in [(200, 0), (20_000, POPULARITY_STEPS)] {
        let pool = pool_of(&[("east-a", 6), ("east-b", 6)]);
        let mut zone = Zone::new(1);
        zone.answer_requests(pool, bytes);
        let mut decisions = Vec::new();
        for _ in 0..12 {
            decisions = zone.run_second(90, 600);
        }
        assert_eq!(steps(&decisions), expected, "{bytes} bytes");
    }
}

/// Guards against decisions that follow a change of the request rate more than ten seconds late, and against decisions
/// that make all objects popular at once, because the first runs of all objects would fill the servers.
#[test]
fn decisions_follow_a_tenfold_rate_in_steps_within_ten_seconds() {
    for seed in 0..10 {
        let mut zone = Zone::new(seed);
        for _ in 0..8 {
            zone.run_second(36, 600);
        }
        let mut before = 0;
        for _ in 0..10 {
            let now = steps(&zone.run_second(360, 600));
            assert!(now <= before + 1, "seed {seed}");
            before = now;
        }
        assert_eq!(before, POPULARITY_STEPS, "seed {seed}");
        for _ in 0..20 {
            before = steps(&zone.run_second(12, 600));
        }
        assert_eq!(before, 0, "seed {seed}");
    }
}

/// Guards against instances of a zone that follow the decisions of different aggregators at the same time.
#[test]
fn the_second_aggregator_counts_only_after_the_first_is_silent() {
    let mut zone = Zone::new(1);
    let mut decisions = Vec::new();
    for _ in 0..8 {
        decisions = zone.run_second(360, 600);
    }
    let pool = pool_of(&[("east-a", 6), ("east-b", 6)]);
    let other = "east-a-2".parse().expect("a name");
    let unpopular: Vec<PopularityDecision> = decisions
        .iter()
        .map(|decision| PopularityDecision {
            steps: 0,
            ..*decision
        })
        .collect();
    let in_zone = |zone: &mut Zone| {
        let numbers = 0..40;
        numbers
            .filter(|number| zone.zones_of(&pool, *number)[0] == "east-a")
            .count()
    };
    let popular = in_zone(&mut zone);
    let now_ms = zone.now_ms;
    zone.placers[0].apply_popularity_decisions(at(now_ms + 500), &other, &unpopular, &[]);
    assert_eq!(in_zone(&mut zone), popular);
    zone.placers[0].apply_popularity_decisions(at(now_ms + 6_000), &other, &unpopular, &[]);
    assert!(in_zone(&mut zone) < popular);
}

/// Guards against samples of several instances that don't add up because each instance leaves out different objects.
#[test]
fn samples_of_instances_add_up_to_the_sample_of_all_requests() {
    let mut random = rand_pcg::Pcg32::seed_from_u64(3);
    let requests: Vec<(usize, u64)> = (0..2_000)
        .map(|_| {
            (
                random.random_range(0..10),
                object(random.random_range(0..400)),
            )
        })
        .collect();
    let sample_of = |selected: Option<usize>| {
        let mut placer = placer("east-a");
        for (instance, object) in &requests {
            if selected.is_none_or(|selected| selected == *instance) {
                placer.record_object_request(&route(), *object);
            }
        }
        let report = placer.take_popularity_report();
        report.into_iter().next().expect("a route").1
    };
    let samples: Vec<ObjectSample> = (0..10).map(|instance| sample_of(Some(instance))).collect();
    let all = sample_of(None);
    let in_all: Vec<u64> = all.objects().map(|(object, _)| object).collect();
    let halvings = samples.iter().map(ObjectSample::halvings).max();
    assert!(halvings <= Some(all.halvings()), "{halvings:?}");
    let mut added = 0;
    for sample in &samples {
        let counted = sample
            .objects()
            .filter(|(object, _)| in_all.contains(object));
        added += counted.map(|(_, count)| count).sum::<u32>();
    }
    assert_eq!(added, all.requests());
}

/// Guards against first runs that save nobody any time: between zones that are a millisecond apart, a server of its own in
/// each zone made one in 25 requests of a day a late first run.
#[test]
fn popular_objects_get_no_server_in_each_of_two_near_zones() {
    for (round_trip_ms, wanted_steps) in [(1.0, 0), (6.0, POPULARITY_STEPS)] {
        let mut near = Zone::new(3);
        let round_trips = &mut near.placers[0].round_trips;
        round_trips.record(&zone("east-b"), round_trip_ms);
        let mut decisions = Vec::new();
        for _ in 0..20 {
            decisions = near.run_second(2_000, 100);
        }
        assert_eq!(steps(&decisions), wanted_steps, "{round_trip_ms} ms");
    }
}
