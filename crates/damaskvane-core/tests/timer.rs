//! Timer service under process pauses and clock steps.

use damaskvane_core::{time, timer};

/// A process that resumes after a pause of an hour has overdue timers only. If each missed period
/// fired, a flood of heartbeats would reach the neighbours and slow down responses to clients.
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

/// A clock that steps back must make a subscription neither fire early nor stop firing.
#[test]
fn a_step_back_of_the_clock_fires_nothing() {
    let mut service = timer::TimerService::new(time::TimeMs::new(10_000));
    let heartbeat = service.subscribe(time::SpanMs::new(500));
    assert!(service.advance(time::TimeMs::new(1)).is_empty());
    assert_eq!(service.advance(time::TimeMs::new(10_500)), vec![heartbeat]);
}
