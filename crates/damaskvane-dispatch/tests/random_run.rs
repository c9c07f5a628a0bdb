//! Randomised runs of the code that decides which requests run, checked by comparing the requests that
//! backend servers ran with the answers that clients got.

use damaskvane_dispatch::model;

const STEPS: u64 = 100_000;

/// Instances are killed, paused beyond every timeout and restarted as planned. Messages are delayed,
/// reordered, duplicated and lost, and backend servers fail in each phase of an exchange. A client could
/// get a duplicate booking, a booking that was reported as refused, or another client's response.
#[test]
fn nothing_runs_twice_and_every_answer_is_correct() {
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
