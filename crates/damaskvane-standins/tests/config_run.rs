//! Randomised runs of the configuration with fixed seeds.

use damaskvane_standins::config_run;

/// Answers of the store are lost, late and stale, messages are lost, zones are cut, instances are
/// paused and replaced, all at once. An operator would see a change twice, gone or undone, and
/// instances that disagree.
#[test]
fn every_promise_of_the_configuration_holds_under_mixed_faults() {
    for seed in 1..=8 {
        let settings = config_run::RunSettings {
            seed,
            seconds: 30,
            ..Default::default()
        };
        let report = config_run::run(settings).unwrap_or_else(|broken| panic!("{broken}"));
        assert!(report.accepted > 0, "seed {seed} accepted nothing");
    }
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
