//! Randomised runs over the decision code, with a checker of what ran against what was answered.

use damaskvane_dispatch::model;

const STEPS: u64 = 100_000;

/// Instances are killed, paused past every time-out and restarted as planned, messages are late,
/// crossed, repeated and lost, and backend servers fail in each phase of an exchange. A user would find
/// a booking standing twice, a refused one standing, or a stranger's answer.
#[test]
fn nothing_runs_twice_and_every_answer_is_true() {
    for seed in [1, 2, 3] {
        let mut run = model::Run::new(seed, model::ModelSettings::default());
        run.steps(STEPS);
        let report = run.report();
        println!("seed {seed}: {report:#?}");
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(report.steps, STEPS, "seed {seed}");
        assert!(report.runs > 1_000, "seed {seed}: {report:?}");
        assert_eq!(report.faults.len(), 4, "seed {seed}: {report:?}");
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    let report = || {
        let mut run = model::Run::new(9, model::ModelSettings::default());
        run.steps(5_000);
        format!("{:?}", run.report())
    };
    assert_eq!(report(), report());
}
