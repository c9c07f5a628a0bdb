//! Randomised runs of the configuration with fixed seeds.

use damaskvane_standins::config_run;

/// Answers of the store are lost, late and stale, messages are lost, zones are cut, instances are
/// paused and replaced, all at once. An operator would see a change twice, gone or undone, and
/// instances that disagree.
#[test]
fn every_promise_of_the_configuration_holds_under_mixed_faults() {
    for seed in 1..=5 {
        let settings = config_run::RunSettings {
            seed,
            seconds: 30,
            ..Default::default()
        };
        let report = config_run::run(settings).unwrap_or_else(|broken| panic!("{broken}"));
        assert!(report.accepted > 0, "seed {seed} accepted nothing");
    }
}

/// The store is down for long and instances are replaced meanwhile, zones are cut and healed. A new
/// instance that waited for the store would serve nobody; one that took an old head from a peer that
/// was cut off would undo what holds elsewhere.
#[test]
fn replaced_instances_come_into_service_during_a_long_outage_of_the_store() {
    let settings = config_run::RunSettings {
        seed: 7,
        seconds: 400,
        zones: 3,
        store_down_from_s: Some(20),
        ..Default::default()
    };
    let report = config_run::run(settings).unwrap_or_else(|broken| panic!("{broken}"));
    assert!(report.replaced >= 10, "{report:?}");
    assert!(report.accepted > 0, "{report:?}");
}

/// A run that can't be repeated can't be looked into.
#[test]
fn a_seed_gives_the_same_run_again() {
    let settings = config_run::RunSettings {
        seconds: 20,
        ..Default::default()
    };
    assert_eq!(config_run::run(settings), config_run::run(settings));
}
