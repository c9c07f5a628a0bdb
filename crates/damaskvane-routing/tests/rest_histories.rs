//! Random histories of servers that ask for rest, and the designs that keep to it.
//!
//! `DAMASKVANE_SEEDS=2000` searches more histories than CI does.

#[path = "support/rest_world/mod.rs"]
mod rest_world;
mod support;

use damaskvane_core::time::SpanMs;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rest_world::{Design, Event, Settings, Wish, World};

/// Time after a rejection in which requests may still be on their way: a round trip of the model and a moment.
const ON_THE_WAY_MS: u64 = 40;
/// When servers begin to reject.
const BEGIN_MS: u64 = 4_000;
/// When servers take all requests again.
const END_MS: u64 = 12_000;
/// End of a history.
const LAST_MS: u64 = 20_000;

fn seeds(default: u64) -> std::ops::Range<u64> {
    let count = std::env::var("DAMASKVANE_SEEDS").ok();
    0..count.and_then(|text| text.parse().ok()).unwrap_or(default)
}

const fn wish(rejected: f64, rest_ms: u64) -> Wish {
    Wish {
        rejected,
        rest: SpanMs::new(rest_ms),
    }
}

/// Which servers reject what, and the size of the fleet.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    instances: usize,
    calls_per_s: f64,
    rejecting: usize,
    wish: Wish,
}

const CASES: [Case; 6] = [
    Case {
        name: "one of 6 rejects all, 3 s",
        instances: 8,
        calls_per_s: 400.0,
        rejecting: 1,
        wish: wish(1.0, 3_000),
    },
    Case {
        name: "all 6 reject a third, 2 s",
        instances: 8,
        calls_per_s: 400.0,
        rejecting: 6,
        wish: wish(0.33, 2_000),
    },
    Case {
        name: "all 6 reject a twentieth, 1 s",
        instances: 8,
        calls_per_s: 400.0,
        rejecting: 6,
        wish: wish(0.05, 1_000),
    },
    Case {
        name: "all 6 reject all, 3 s",
        instances: 8,
        calls_per_s: 400.0,
        rejecting: 6,
        wish: wish(1.0, 3_000),
    },
    Case {
        name: "3 of 6 reject a third, 2 s, 24 instances",
        instances: 24,
        calls_per_s: 500.0,
        rejecting: 3,
        wish: wish(0.33, 2_000),
    },
    Case {
        name: "none rejects",
        instances: 8,
        calls_per_s: 400.0,
        rejecting: 0,
        wish: wish(0.0, 1_000),
    },
];

fn play(case: &Case, design: Design, seed: u64) -> World {
    let mut world = World::new(Settings {
        seed,
        design,
        instances: case.instances,
        calls_per_s: case.calls_per_s,
        ..Settings::default()
    });
    for server in 0..case.rejecting {
        world.schedule(BEGIN_MS, Event::Wish(server, Some(case.wish)));
        world.schedule(END_MS, Event::Wish(server, None));
    }
    world.play(LAST_MS);
    world
}

/// Servers reject, and callers must be served by the others as far as these can; no request reaches a server in its rest.
#[test]
fn rests_are_kept_and_other_servers_used() {
    for case in &CASES {
        let (mut calls, mut refused) = (0, 0);
        for seed in seeds(1) {
            let world = play(case, Design::Own, seed);
            let most = world.most_in_a_rest(ON_THE_WAY_MS);
            assert_eq!(most, 0, "{}, seed {seed}", case.name);
            let in_vain = world.outcome.refused_in_vain;
            assert_eq!(in_vain, 0, "{}, seed {seed}", case.name);
            calls += world.outcome.calls;
            refused += world.outcome.refused;
        }
        if case.rejecting < 2 {
            // Single histories have moments in which all servers are full by chance.
            assert!(refused * 500 < calls, "{}: {refused}", case.name);
        }
    }
}

/// After the last rest the load of a server comes back, all of it within 2 s, and never far more than before: for 2 s in
/// tenths of a second, and then in halves, since a tenth at full load has twice as many requests now and then by chance.
#[test]
fn the_load_of_a_server_returns_without_a_burst() {
    for instances in [3, 24] {
        let case = Case {
            name: "one rejects all, 3 s",
            instances,
            calls_per_s: 400.0,
            rejecting: 1,
            wish: wish(1.0, 3_000),
        };
        for seed in seeds(2) {
            let mut world = World::new(Settings {
                seed,
                instances,
                calls_per_s: case.calls_per_s,
                ..Settings::default()
            });
            world.schedule(6_000, Event::Wish(0, Some(case.wish)));
            // Each instance is rejected once.
            world.schedule(8_500, Event::Wish(0, None));
            world.play(LAST_MS);
            let usual = world.arrived(0, 3_000, 6_000) as f64 / 30.0;
            let returned = world.arrived(0, 14_000, 17_000) as f64 / 30.0;
            assert!(
                returned >= usual * 0.5,
                "{returned} after {usual}, seed {seed}"
            );
            for (span, window_ms) in [(9_000..11_000, 100), (11_000..14_000, 500)] {
                let begins = span.step_by(window_ms as usize);
                let most = begins
                    .map(|from| world.arrived(0, from, from + window_ms))
                    .max();
                let most = most.unwrap_or_default() as f64;
                let allowed = usual * 2.0 * (window_ms as f64 / 100.0) + 6.0;
                assert!(
                    most <= allowed,
                    "{most} in {window_ms} ms, {usual} in 100 ms before, seed {seed}"
                );
            }
        }
    }
}

/// Wishes that change, servers that leave, entries that lapse and come back, and instances that start again, in any order.
#[test]
fn rests_and_leaving_hold_in_random_histories() {
    for seed in seeds(40) {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x5e57);
        let instances = random.random_range(1..9);
        let mut world = World::new(Settings {
            seed,
            instances,
            calls_per_s: random.random_range(60.0..500.0),
            ..Settings::default()
        });
        let mut leaving_at = None;
        for _ in 0..random.random_range(5..30) {
            let at_ms = random.random_range(500..9_000);
            let server = random.random_range(0..6);
            let number = random.random_range(0..instances);
            match random.random_range(0..8) {
                0 => world.schedule(at_ms, Event::Wish(server, None)),
                1 => world.schedule(at_ms, Event::Restart(number)),
                2 => {
                    world.schedule(at_ms, Event::Lapse(number, server));
                    let back_ms = at_ms + random.random_range(1..1_500);
                    world.schedule(back_ms, Event::Read(number, server));
                }
                3 if leaving_at.is_none() => {
                    leaving_at = Some(at_ms);
                    world.schedule(at_ms, Event::Leave(5));
                }
                _ => {
                    let rest_ms = [100, 700, 1_500, 3_000, 5_000][random.random_range(0..5)];
                    let rejected = [0.1, 0.33, 0.5, 1.0][random.random_range(0..4)];
                    let changed = Event::Wish(server, Some(wish(rejected, rest_ms)));
                    world.schedule(at_ms, changed);
                }
            }
        }
        world.play(12_000);
        assert_eq!(world.most_in_a_rest(ON_THE_WAY_MS), 0, "seed {seed}");
        assert_eq!(world.outcome.refused_in_vain, 0, "seed {seed}");
        let told = world.servers[5]
            .arrivals
            .iter()
            .filter(|(arrived, ..)| leaving_at.is_some_and(|at_ms| arrived.get() >= at_ms));
        // Each incarnation of an instance learns of it by its first response, and what it has sent meanwhile arrives.
        let mut by_instance = std::collections::BTreeMap::<_, Vec<u64>>::new();
        for (arrived, by, incarnation) in told {
            let arrivals = by_instance.entry((by, incarnation)).or_default();
            arrivals.push(arrived.get());
        }
        for ((by, incarnation), arrivals) in by_instance {
            let first = arrivals[0];
            let late = arrivals.iter().filter(|one| **one > first + 500).count();
            assert_eq!(late, 0, "seed {seed}, instance {by} {incarnation}");
        }
    }
}

/// The designs that were not built: what is ignored or shared as tokens breaks rests, and what is shared leaves servers idle.
#[test]
fn the_histories_tell_the_designs_apart() {
    let designs = [
        Design::Ignored,
        Design::Own,
        Design::Shared,
        Design::Hinted,
        Design::Tokens,
    ];
    for case in &CASES {
        for design in designs {
            let worlds: Vec<_> = seeds(1).map(|seed| play(case, design, seed)).collect();
            let most = worlds.iter().map(|one| one.most_in_a_rest(100)).max();
            let sum = |value: fn(&World) -> u64| worlds.iter().map(value).sum::<u64>() as f64;
            let calls = sum(|one| one.outcome.calls);
            println!(
                "{}, {design:?}: most in a rest {}, rejections {:.0}, served {:.3}, refused {:.3}, mean {:.0} ms, \
                 messages {:.0}",
                case.name,
                most.unwrap_or_default(),
                sum(|one| one.outcome.rejected) / worlds.len() as f64,
                sum(|one| one.outcome.served) / calls,
                sum(|one| one.outcome.refused) / calls,
                sum(|one| one.outcome.took_ms) / sum(|one| one.outcome.served).max(1.0),
                sum(|one| one.outcome.messages) / worlds.len() as f64,
            );
        }
    }
    let ignored = play(&CASES[3], Design::Ignored, 0);
    assert!(ignored.most_in_a_rest(100) > 2);
}
