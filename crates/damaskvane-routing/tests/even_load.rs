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

const BACK_TRIAL: Case = Case {
    name: "4 instances, 12 servers of 4 slots, objects back in 4 s",
    objects: Objects::Back(4.0),
    ..TRIAL
};

const FALSE_TRIAL: Case = Case {
    name: "4 instances, 12 servers of 4, one always claims to be free",
    lie: Lie::Free(0),
    ..TRIAL
};

const SILENT_TRIAL: Case = Case {
    name: "4 instances, 12 servers of 4, no reports",
    lie: Lie::Silent,
    ..TRIAL
};

const RESTART_TRIAL: Case = Case {
    name: "4 instances, 12 servers of 4, all restart",
    restart_ms: Some(40_000),
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

const CASES: [Case; 13] = [
    TRIAL,
    SLOW_TRIAL,
    BACK_TRIAL,
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
        last_ms: 40_000,
        ..LARGE
    },
    FALSE_TRIAL,
    SILENT_TRIAL,
    RESTART_TRIAL,
    Case {
        name: "24 instances, 170 servers of 6, one always claims to be free",
        lie: Lie::Free(0),
        ..LARGE
    },
    Case {
        name: "24 instances, 170 servers of 6, all restart",
        restart_ms: Some(12_000),
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
        "{}; {way:?}: {} calls, needless {:.1}%, queued {:.1}%, refused {:.1}%, first {:.1}%, p50 {} p90 {} p99 {}, most {:.1}, burst {}, choice {} ns, messages {}",
        case.name,
        outcome.calls,
        of(outcome.needless),
        of(outcome.queued),
        of(outcome.refused),
        of(outcome.first_runs),
        outcome.percentile(50),
        outcome.percentile(90),
        outcome.percentile(99),
        outcome.most_sent(),
        outcome.burst,
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
        for way in [Way::Today, Way::Even, Way::TwoAtRandom] {
            println!("{}", row(case, way));
        }
    }
}

/// Guards against a model that shows no needless queueing of the present way, and against requests that queue at one
/// server while others are free.
#[test]
fn needless_queueing_falls_to_a_quarter() {
    for (case, least) in [(TRIAL, 0.15), (SLOW_TRIAL, 0.22)] {
        let (today, even) = (play(case, Way::Today), play(case, Way::Even));
        let (before, after) = (today.share(today.needless), even.share(even.needless));
        assert!((least..0.35).contains(&before), "{}: {before}", case.name);
        assert!(after <= before / 4.0, "{}: {before} {after}", case.name);
        assert!(even.percentile(99) < today.percentile(99), "{}", case.name);
        assert!(even.messages <= today.messages, "{}", case.name);
    }
}

/// Guards against even load that helps only where an instance knows most of the load itself.
#[test]
fn needless_queueing_falls_where_reports_are_seconds_old() {
    let (today, even) = (play(LARGE, Way::Today), play(LARGE, Way::Even));
    let (before, after) = (today.share(today.needless), even.share(even.needless));
    assert!(after <= before / 2.5, "{before} {after}");
    assert!(even.messages <= today.messages);
}

/// Guards against objects that come back and are scattered over servers that do not know them.
#[test]
fn objects_that_come_back_stay_on_their_servers() {
    let (today, even) = (play(BACK_TRIAL, Way::Today), play(BACK_TRIAL, Way::Even));
    assert!(even.share(even.first_runs) < today.share(today.first_runs) + 0.01);
    assert!(even.percentile(90) <= today.percentile(90) + 5);
}

/// Guards against a server that draws the load of all instances by false reports, and against bursts to one server
/// without reports or after a start.
#[test]
fn false_and_missing_reports_cause_no_burst() {
    for case in [FALSE_TRIAL, SILENT_TRIAL, RESTART_TRIAL] {
        let (today, even) = (play(case, Way::Today), play(case, Way::Even));
        assert!(
            even.most_sent() < 1.6,
            "{}: {}",
            case.name,
            even.most_sent()
        );
        assert!(even.burst <= today.burst, "{}", case.name);
        let (before, after) = (today.share(today.needless), even.share(even.needless));
        assert!(after < before / 2.0, "{}: {before} {after}", case.name);
        assert_eq!(even.refused, 0, "{}", case.name);
    }
}
