//! The timer service under pauses and clock steps.

use damaskvane_core::{time, timer};

/// A process that is paused for an hour wakes up with every timer long overdue. If each missed period
/// fired, its neighbours would see a flood of heartbeats; a user would notice slow answers.
#[test]
fn a_pause_fires_each_subscription_once() {
    let mut service = timer::TimerService::new(time::TimeMs::ZERO);
    let heartbeat = service.subscribe(time::SpanMs::new(500));
    assert_eq!(
        service.advance(time::TimeMs::new(3_600_000)),
        vec![heartbeat]
    );
    assert!(service.advance(time::TimeMs::new(3_600_001)).is_empty());
}

/// A clock that steps back must not make a subscription fire early or never again.
#[test]
fn a_step_back_of_the_clock_fires_nothing() {
    let mut service = timer::TimerService::new(time::TimeMs::new(10_000));
    let heartbeat = service.subscribe(time::SpanMs::new(500));
    assert!(service.advance(time::TimeMs::new(1)).is_empty());
    assert_eq!(service.advance(time::TimeMs::new(10_500)), vec![heartbeat]);
}
