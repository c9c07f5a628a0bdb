//! Tests of traffic shifts, which move a share of the clients to another zone in steps: the cap on the share
//! that moves in any window of time, and the freezing and reverting of a shift.
#![allow(clippy::unwrap_used)]

use damaskvane_core::time;
use damaskvane_steering::shift;
use rand::{RngExt, SeedableRng};

fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

fn start(order: shift::Order) -> shift::Stage {
    shift::Stage::Ramping(shift::Shift::accept(order).start(at(0)))
}

/// Runs a shift with random signals at irregular intervals; returns the time of each signal with the share of
/// the clients moved by then, in thousandths.
fn random_run(seed: u64, order: shift::Order) -> Vec<(u64, u32)> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut stage = start(order);
    let mut moved = vec![(0, 0)];
    let mut now_ms = 0;
    for _ in 0..2_000 {
        now_ms += rng.random_range(1..5_000);
        let signal = match rng.random_range(0..40) {
            0 => shift::Signal::Overload,
            1 => shift::Signal::Errors,
            2 => shift::Signal::Unknown,
            _ => shift::Signal::Healthy,
        };
        stage = stage.advance(at(now_ms), signal);
        assert_eq!(stage.progress().limit_violations, 0);
        moved.push((now_ms, stage.progress().moved_permille));
    }
    moved
}

/// The ticket that orders a shift limits the share of the clients that moves in any window (the cap). If
/// steps were counted in fixed windows, steps on both sides of a boundary could add up, and the caches at the
/// destination would receive twice the cap.
#[test]
fn no_window_moves_more_than_the_cap() {
    for seed in 0..30 {
        let order = shift::Order {
            cap_permille: [150, 30, 7][seed as usize % 3],
            ..shift::Order::default()
        };
        let moved = random_run(seed, order);
        let steps = moved
            .windows(2)
            .map(|pair| (pair[1].0, pair[1].1.abs_diff(pair[0].1)));
        let steps: Vec<_> = steps.collect();
        for (start_ms, _) in &steps {
            let in_window = steps
                .iter()
                .filter(|(at_ms, _)| at_ms >= start_ms && at_ms - start_ms < order.window.get());
            let sum: u32 = in_window.map(|(_, step)| step).sum();
            assert!(
                sum <= order.cap_permille,
                "seed {seed}: {sum} from {start_ms} ms"
            );
        }
    }
}

#[test]
fn a_shift_with_healthy_signals_completes() {
    let mut stage = start(shift::Order::default());
    for step in 0..2_000 {
        stage = stage.advance(at(step * 1_000), shift::Signal::Healthy);
    }
    assert_eq!(stage.progress().phase, shift::Phase::Complete);
    assert_eq!(stage.progress().moved_permille, 1_000);
}

#[test]
fn steps_wait_for_caches_to_warm_up_and_grow_with_the_warm_share() {
    let order = shift::Order::default();
    let mut stage = start(order);
    let mut steps = Vec::new();
    for now_ms in (0..60_000).step_by(500) {
        let before = stage.progress().moved_permille;
        stage = stage.advance(at(now_ms), shift::Signal::Healthy);
        let moved = stage.progress().moved_permille - before;
        if moved > 0 {
            steps.push((now_ms, moved));
        }
    }
    assert_eq!(steps[0], (0, 20));
    assert!(
        steps.windows(2).all(|pair| pair[1].0 - pair[0].0 >= 10_000),
        "{steps:?}"
    );
    assert!(steps.iter().all(|(_, moved)| *moved <= 50), "{steps:?}");
}

/// A large shift moves clients to a destination whose caches are cold, and the destination is overloaded. If
/// the shift continued, the old and the new clients of the destination would be refused.
#[test]
fn overload_and_errors_freeze_a_shift_and_revert_a_step() {
    for signal in [shift::Signal::Overload, shift::Signal::Errors] {
        let mut stage = start(shift::Order::default());
        for now_ms in (0..100_000).step_by(1_000) {
            stage = stage.advance(at(now_ms), shift::Signal::Healthy);
        }
        let before = stage.progress().moved_permille;
        stage = stage.advance(at(100_000), signal);
        let after = stage.progress();
        assert_eq!(after.phase, shift::Phase::Frozen);
        assert!(after.moved_permille < before, "{after:?} after {before}");
        stage = stage.advance(at(129_999), shift::Signal::Healthy);
        assert_eq!(
            stage.progress().phase,
            shift::Phase::Frozen,
            "healthy for less than 30 s"
        );
        stage = stage.advance(at(130_000), shift::Signal::Healthy);
        assert_eq!(stage.progress().phase, shift::Phase::Ramping);
    }
}

#[test]
fn without_a_fresh_report_a_shift_holds() {
    let mut stage = start(shift::Order::default());
    stage = stage.advance(at(0), shift::Signal::Healthy);
    let before = stage.progress().moved_permille;
    for now_ms in (1_000..200_000).step_by(1_000) {
        stage = stage.advance(at(now_ms), shift::Signal::Unknown);
    }
    assert_eq!(stage.progress().moved_permille, before);
}

/// The instance that runs a shift is replaced. If the new instance restarted the shift at zero, all moved
/// clients would return in one step, which exceeds the cap by far.
#[test]
fn a_resumed_shift_keeps_its_moved_share_and_waits_a_window() {
    let shift = shift::Shift::accept(shift::Order::default()).resume(400, at(5_000));
    let mut stage = shift::Stage::Ramping(shift);
    for now_ms in (5_000..65_000).step_by(1_000) {
        stage = stage.advance(at(now_ms), shift::Signal::Healthy);
        assert_eq!(stage.progress().moved_permille, 400, "{now_ms}");
    }
    stage = stage.advance(at(65_000), shift::Signal::Healthy);
    assert!(stage.progress().moved_permille > 400);
}
