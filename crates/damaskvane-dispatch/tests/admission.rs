//! The admission queue under overload.

use damaskvane_core::time;
use damaskvane_dispatch::{admission, deadline, refusal};

fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

fn waiting(
    request: u32,
    service: &str,
    priority: admission::Priority,
    deadline_ms: u64,
) -> admission::QueuedRequest<u32> {
    admission::QueuedRequest {
        request,
        service: service.parse().expect("a service"),
        priority,
        deadline: deadline::Deadline::after(at(0), time::SpanMs::new(deadline_ms)),
    }
}

fn queue(max_waiting: usize) -> admission::Queue<u32> {
    admission::Queue::new(admission::QueueSettings {
        max_waiting,
        ..Default::default()
    })
}

/// Arrivals exceed what the backend servers finish. The urgent and the old are served first, and the
/// least urgent and latest is given up at once.
#[test]
fn a_full_queue_gives_up_the_least_urgent_and_latest() {
    let mut queue = queue(2);
    assert!(
        queue
            .push(at(0), waiting(1, "desk", admission::Priority::Low, 2_000))
            .is_empty()
    );
    assert!(
        queue
            .push(
                at(0),
                waiting(2, "desk", admission::Priority::Normal, 2_000)
            )
            .is_empty()
    );
    let given_up = queue.push(at(0), waiting(3, "desk", admission::Priority::High, 2_000));
    assert_eq!(given_up.len(), 1);
    assert_eq!(given_up[0].request, 1);
    assert_eq!(given_up[0].reason, refusal::RefusalReason::QueueFull);
    let order: Vec<_> = core::iter::from_fn(|| queue.pop(at(1), |_| true)).collect();
    assert_eq!(order, [3, 2]);
}

/// A request is held until just before its deadline and then refused: the client has no time left to
/// go elsewhere.
#[test]
fn a_request_is_given_up_long_before_its_deadline() {
    let mut queue = queue(10);
    assert!(
        queue
            .push(
                at(0),
                waiting(1, "desk", admission::Priority::Normal, 60_000)
            )
            .is_empty()
    );
    let short = queue.push(at(0), waiting(2, "desk", admission::Priority::Normal, 10));
    assert_eq!(short[0].reason, refusal::RefusalReason::DeadlineTooShort);
    assert!(queue.expire(at(499)).is_empty());
    let given_up = queue.expire(at(500));
    assert_eq!(given_up[0].reason, refusal::RefusalReason::QueueTimeout);
    assert!(queue.is_empty());
}

/// Ten requests a second drain, and twenty more arrive at once. Who can't be served within the longest
/// wait is given up on arrival, and told when those that wait will have been served.
#[test]
fn retry_after_follows_the_drain_rate() {
    let mut queue = admission::Queue::new(admission::QueueSettings {
        max_wait_ms: 1_000,
        ..Default::default()
    });
    let normal = |request| waiting(request, "desk", admission::Priority::Normal, 60_000);
    for request in 0..3 {
        assert!(queue.push(at(0), normal(request)).is_empty());
    }
    for step in 1..=10 {
        assert!(queue.pop(at(u64::from(step) * 100), |_| true).is_some());
        assert!(
            queue
                .push(at(u64::from(step) * 100), normal(step))
                .is_empty()
        );
    }
    let mut refused = Vec::new();
    for request in 0..20 {
        refused.extend(queue.push(at(1_000), normal(request)));
    }
    assert_eq!(queue.len(), 10);
    assert_eq!(refused.len(), 13);
    for given_up in refused {
        assert_eq!(given_up.reason, refusal::RefusalReason::Overloaded);
        assert_eq!(given_up.retry_after, time::SpanMs::new(1_100));
    }
}

/// Requests trickle in one by one and are served at once. The few departures say nothing about what
/// the backend servers could do, and two requests that arrive together must not be refused for it.
#[test]
fn a_trickle_is_not_taken_for_a_slow_drain() {
    let mut queue = queue(10);
    for step in 0..20 {
        let now = at(step * 400);
        for request in 0..2 {
            let two = waiting(request, "desk", admission::Priority::Normal, 60_000);
            assert!(queue.push(now, two).is_empty());
        }
        assert!(queue.pop(now, |_| true).is_some());
        assert!(queue.pop(now, |_| true).is_some());
    }
    for (request, now_ms) in [(0, 8_000), (1, 8_300)] {
        let slow = waiting(request, "desk", admission::Priority::Normal, 60_000);
        assert!(queue.push(at(now_ms), slow).is_empty());
    }
}

/// One service is flooded. The requests of the other must not wait behind the flood.
#[test]
fn services_take_turns() {
    let mut queue = queue(10);
    for request in 0..5 {
        let _ = queue.push(
            at(0),
            waiting(request, "a", admission::Priority::High, 2_000),
        );
    }
    let _ = queue.push(at(0), waiting(10, "b", admission::Priority::Low, 2_000));
    let first: Vec<_> = (0..3).filter_map(|_| queue.pop(at(1), |_| true)).collect();
    assert_eq!(first, [0, 10, 1]);
    assert_eq!(queue.pop(at(1), |service| service.as_str() == "b"), None);
}
