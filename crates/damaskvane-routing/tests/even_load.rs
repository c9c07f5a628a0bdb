//! Load of servers from old reports: a fleet in virtual time with the real pool and placement.
//!
//! `cargo test -p damaskvane-routing --test even_load -- --ignored --nocapture` prints the figures of all ways.

#[path = "support/load_world/mod.rs"]
mod load_world;
mod support;

use load_world::{Case, Lie, Objects, Outcome, Way, World};

const TRIAL: Case = Case {
    name: "4 instances, 12 servers of 4 slots, new objects",
    instances: 4,
    servers: 12,
    slots: 4,
    objects: Objects::New,
    has_slow_machines: false,
    use_share: 0.57,
    lie: Lie::Nothing,
    restart_ms: None,
    last_ms: 60_000,
};

const SLOW_TRIAL: Case = Case {
    name: "the same, slow machines",
    has_slow_machines: true,
    ..TRIAL
};

const LARGE: Case = Case {
    name: "24 instances, 170 servers of 6, new objects",
    instances: 24,
    servers: 170,
    slots: 6,
    last_ms: 20_000,
    ..TRIAL
};

const CASES: [Case; 8] = [
    TRIAL,
    SLOW_TRIAL,
    Case {
        name: "4 instances, 12 servers of 4 slots, objects back in 4 s",
        objects: Objects::Back(4.0),
        ..TRIAL
    },
    LARGE,
    Case {
        name: "24 instances, 170 servers of 6, slow machines",
        has_slow_machines: true,
        ..LARGE
    },
    Case {
        name: "24 instances, 170 servers of 6, slow machines, objects back in 4 s",
        has_slow_machines: true,
        objects: Objects::Back(4.0),
        ..LARGE
    },
    Case {
        name: "66 instances, 190 servers of 9, new objects",
        instances: 66,
        servers: 190,
        slots: 9,
        ..LARGE
    },
    Case {
        name: "300 instances, 400 servers of 6, new objects",
        instances: 300,
        servers: 400,
        last_ms: 16_000,
        ..LARGE
    },
];

fn play(case: Case, way: Way) -> Outcome {
    World::new(case, way, 7).play()
}

fn row(case: Case, way: Way) -> String {
    let outcome = play(case, way);
    let of = |count| 100.0 * outcome.share(count);
    format!(
        "{}; {way:?}: {} calls, needless {:.1}%, queued {:.1}%, refused {:.1}%, first {:.1}%, p50 {} p90 {} p99 {}, choice {} ns, messages {}",
        case.name,
        outcome.calls,
        of(outcome.needless),
        of(outcome.queued),
        of(outcome.refused),
        of(outcome.first_runs),
        outcome.percentile(50),
        outcome.percentile(90),
        outcome.percentile(99),
        outcome.choosing_ns / outcome.calls.max(1) as u128,
        outcome.messages,
    )
}

/// Prints the figures of all ways on the same histories.
#[test]
#[ignore = "prints figures, for hand use"]
fn figures_of_all_ways() {
    let only = std::env::var("DAMASKVANE_CASE").unwrap_or_default();
    for case in CASES.into_iter().filter(|case| case.name.contains(&only)) {
        for way in [Way::Today, Way::TwoAtRandom] {
            println!("{}", row(case, way));
        }
    }
}

/// Guards against a model that shows no needless queueing of the present way, and so no gain of another.
#[test]
fn the_model_shows_needless_queueing() {
    let outcome = play(TRIAL, Way::Today);
    let needless = outcome.share(outcome.needless);
    assert!((0.15..0.35).contains(&needless), "{needless}");
}
