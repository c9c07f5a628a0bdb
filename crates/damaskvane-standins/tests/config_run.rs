//! Randomised runs of the configuration's decision code with fixed seeds.

use damaskvane_standins::config_run;

/// Store responses are lost, delayed and stale, messages are lost, zones are partitioned, and instances
/// are paused and replaced, all at once. A fault in the code would apply a change twice, lose it, undo
/// it, or leave instances with different configurations.
#[test]
fn configuration_invariants_hold_under_mixed_faults() {
    for seed in 1..=5 {
        let settings = config_run::RunSettings {
            seed,
            seconds: 30,
            ..Default::default()
        };
        let report = config_run::run(settings).unwrap_or_else(|violation| panic!("{violation}"));
        assert!(report.accepted > 0, "seed {seed} accepted nothing");
    }
}

/// During a long store outage, instances are replaced and zones are partitioned and reconnected. A new
/// instance that waits for the store would serve no client. A new instance that takes an old head from
/// a partitioned peer would go back to an earlier configuration than the other instances.
#[test]
fn replaced_instances_become_active_during_a_long_store_outage() {
    let settings = config_run::RunSettings {
        seed: 7,
        seconds: 400,
        zones: 3,
        store_down_from_s: Some(20),
        ..Default::default()
    };
    let report = config_run::run(settings).unwrap_or_else(|violation| panic!("{violation}"));
    assert!(report.replaced >= 10, "{report:?}");
    assert!(report.accepted > 0, "{report:?}");
}

/// A violation can only be investigated if its seed reproduces the run.
#[test]
fn a_seed_reproduces_the_same_run() {
    let settings = config_run::RunSettings {
        seconds: 20,
        ..Default::default()
    };
    assert_eq!(config_run::run(settings), config_run::run(settings));
}
