//! Random histories of a server that names a limit for all instances together, and the designs that keep to it.
//!
//! `DAMASKVANE_SEEDS=2000` searches more histories than CI does.

#[path = "support/limit_world/mod.rs"]
mod limit_world;

use damaskvane_routing::limit::RequestRate;
use limit_world::{Design, Event, Outcome, Settings, World};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Requests in a window beyond what the limit allows.
const SLACK: f64 = 5.0;
/// Factor by which the platform lets a limit be exceeded, beyond the slack.
const RULE_FACTOR: f64 = 1.5;
/// Share of the limit that is used if the callers ask for more.
const MIN_USED: f64 = 0.9;
const NAMED_MS: u64 = 2_000;
const END_MS: u64 = 32_000;

fn rate(per_s: f64) -> Option<RequestRate> {
    RequestRate::new(per_s)
}

fn seeds(default: u64) -> std::ops::Range<u64> {
    let count = std::env::var("DAMASKVANE_SEEDS").ok();
    0..count.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Instances with different shares of the callers, and the limit of their server.
const CASES: [(usize, f64); 7] = [
    (1, 3.0),
    (2, 1.0),
    (8, 3.0),
    (24, 3.0),
    (24, 0.5),
    (8, 20.0),
    (100, 4.5),
];

fn undisturbed(design: Design, seed: u64, instances: usize, limit: f64, is_even: bool) -> Outcome {
    let most_calls_per_s = (4.0 * limit).max(40.0);
    let (calls_per_s, unevenness) = if is_even {
        (most_calls_per_s / instances as f64, 1.0)
    } else {
        (most_calls_per_s / 2.0, 0.5)
    };
    let mut world = World::new(Settings {
        seed,
        design,
        instances,
        zones: instances.min(6),
        calls_per_s,
        unevenness,
        ..Settings::default()
    });
    world.schedule(NAMED_MS, Event::Name { rate: rate(limit) });
    world.play(END_MS);
    world.outcome
}

/// Callers that come to few instances must not be refused while the server would take more, and all together must not get
/// more than it takes.
#[test]
fn a_limit_is_kept_and_used_however_callers_are_spread() {
    for (instances, limit) in CASES {
        for is_even in [true, false] {
            for seed in seeds(5) {
                let outcome = undisturbed(Design::Leases(3), seed, instances, limit, is_even);
                let case = format!("{instances} instances, limit {limit}, even {is_even}, {seed}");
                let worst = outcome.worst(1.0);
                assert!(worst <= SLACK, "{case}: {worst} beyond the limit");
                let used = outcome.used(limit, NAMED_MS + 2_000, END_MS);
                assert!(used >= MIN_USED, "{case}: {used} of the limit used");
            }
        }
    }
}

/// A server that takes nothing gets no more than the slack, and is asked now and then whether its limit has ended.
#[test]
fn a_server_that_takes_nothing_is_asked_now_and_then() {
    for seed in seeds(20) {
        let outcome = undisturbed(Design::Leases(3), seed, 8, 0.0, true);
        let worst = outcome.worst(1.0);
        assert!((1.0..=SLACK).contains(&worst), "seed {seed}: {worst}");
    }
}

/// The designs that were not built: a fixed share is exceeded by many instances at once and left unused by few; pools that
/// lend tokens lose some of them.
#[test]
fn the_histories_tell_the_designs_apart() {
    let designs = [
        Design::FixedShare,
        Design::Pools(3),
        Design::Pools(6),
        Design::Leases(1),
        Design::Leases(3),
    ];
    for (instances, limit) in CASES {
        for is_even in [true, false] {
            for design in designs {
                let outcomes =
                    (0..8).map(|seed| undisturbed(design, seed, instances, limit, is_even));
                let outcomes: Vec<_> = outcomes.collect();
                let worst = outcomes
                    .iter()
                    .map(|one| one.worst(1.0))
                    .fold(-99.0, f64::max);
                let mean = |value: fn(&Outcome) -> f64| {
                    outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
                };
                let used = outcomes
                    .iter()
                    .map(|one| one.used(limit, NAMED_MS + 2_000, END_MS));
                println!(
                    "{instances} instances, limit {limit}, even {is_even}, {design:?}: most {worst:+.0}, \
                     used {:.2}, refused {:.3}, messages/s {:.0}, wait {:.0} ms",
                    used.sum::<f64>() / outcomes.len() as f64,
                    mean(|one| one.refused as f64 / one.calls as f64),
                    mean(|one| one.messages as f64 / (END_MS as f64 / 1_000.0)),
                    mean(|one| one.waited_ms as f64 / one.granted.max(1) as f64),
                );
            }
        }
    }
    let shared = undisturbed(Design::FixedShare, 0, 24, 3.0, true);
    assert!(shared.worst(1.0) > SLACK);
    let uneven = undisturbed(Design::FixedShare, 0, 24, 3.0, false);
    assert!(uneven.used(3.0, NAMED_MS + 2_000, END_MS) < MIN_USED);
}

/// What befalls the instances of a history, beside lost messages and limits that change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Faults {
    Restarts,
    RestartsAndCuts,
}

fn disturbed(seed: u64, faults: Faults) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let instances = random.random_range(1..=24);
    let limits = [0.0, 0.3, 1.0, 2.9, 3.0, 4.5, 5.5, 12.0, 40.0];
    let mut world = World::new(Settings {
        seed,
        design: Design::Leases(3),
        instances,
        zones: random.random_range(1..=6.min(instances)),
        calls_per_s: random.random_range(1.0..30.0),
        unevenness: random.random_range(0.6..=1.0),
        lost: random.random_range(0.0..0.2),
    });
    for _ in 0..random.random_range(1..5) {
        let named = random.random_bool(0.8);
        let limit = rate(limits[random.random_range(0..limits.len())]);
        let at_ms = random.random_range(1_000..20_000);
        let rate = limit.filter(|_| named);
        world.schedule(at_ms, Event::Name { rate });
    }
    for _ in 0..random.random_range(0..6) {
        let at = random.random_range(0..instances);
        let at_ms = random.random_range(1_000..END_MS);
        world.schedule(at_ms, Event::Restart { at });
    }
    if faults == Faults::RestartsAndCuts {
        for _ in 0..random.random_range(1..4) {
            let begin_ms = random.random_range(1_000..END_MS);
            let end_ms = begin_ms + random.random_range(500..12_000);
            for at in 0..instances {
                if random.random_bool(0.4) {
                    world.schedule(begin_ms, Event::Cut { at, group: 1 });
                    world.schedule(end_ms, Event::Cut { at, group: 0 });
                }
            }
        }
    }
    world.play(END_MS);
    world.outcome
}

/// Instances start again, messages are lost, and limits fall, rise, end and come back. A process that starts again must not
/// hand out tokens that its predecessor has lent.
#[test]
fn a_limit_holds_beside_restarts_and_lost_messages() {
    for seed in seeds(400) {
        let worst = disturbed(seed, Faults::Restarts).worst(1.0);
        assert!(worst <= SLACK, "seed {seed}: {worst} beyond the limit");
    }
}

/// Instances are cut off from each other beside all that. Each side hands out tokens without knowing of the other's; those
/// of the smaller side are what the platform lets a limit be exceeded by.
#[test]
fn a_limit_holds_within_the_rule_beside_cuts() {
    for seed in seeds(400) {
        let worst = disturbed(seed, Faults::RestartsAndCuts).worst(RULE_FACTOR);
        assert!(worst <= SLACK, "seed {seed}: {worst} beyond the rule");
    }
}

/// The first holder of the tokens is cut off from all others. They take over its part once they miss its heartbeats; without
/// that the server would get nothing from them, or less than it takes, for as long as the cut lasts.
#[test]
fn the_limit_is_used_while_the_first_holder_is_lost() {
    for (design, is_used) in [(Design::Leases(3), true), (Design::Leases(1), false)] {
        for seed in seeds(5) {
            let mut world = World::new(Settings {
                seed,
                design,
                instances: 9,
                calls_per_s: 5.0,
                ..Settings::default()
            });
            world.schedule(NAMED_MS, Event::Name { rate: rate(3.0) });
            world.schedule(8_000, Event::Cut { at: 0, group: 1 });
            world.play(END_MS);
            let used = world.outcome.used_by(|from| from != 0, 3.0, 12_000, END_MS);
            assert_eq!(used >= MIN_USED, is_used, "{design:?}, {seed}: {used} used");
        }
    }
}
