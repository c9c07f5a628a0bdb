//! Tests of the admission queue under overload.
//!
//! The queue holds requests for which no backend server has capacity yet.

use damaskvane_core::time;
use damaskvane_dispatch::{admission, deadline, refusal};

fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

fn queued(
    request: u32,
    service: &str,
    priority: admission::Priority,
    deadline_ms: u64,
) -> admission::QueuedRequest<u32> {
    admission::QueuedRequest {
        request,
        service: service.parse().expect("valid service id"),
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

/// More requests arrive than the backend servers complete. Requests are served by priority, then by age,
/// and the newest request of the lowest priority is rejected at once.
#[test]
fn a_full_queue_rejects_the_newest_request_of_the_lowest_priority() {
    let mut queue = queue(2);
    assert!(
        queue
            .push(at(0), queued(1, "desk", admission::Priority::Low, 2_000))
            .is_empty()
    );
    assert!(
        queue
            .push(at(0), queued(2, "desk", admission::Priority::Normal, 2_000))
            .is_empty()
    );
    let rejected = queue.push(at(0), queued(3, "desk", admission::Priority::High, 2_000));
    assert_eq!(rejected.len(), 1);
    assert_eq!(rejected[0].request, 1);
    assert_eq!(rejected[0].reason, refusal::RefusalReason::QueueFull);
    let order: Vec<_> = core::iter::from_fn(|| queue.pop(at(1), |_| true)).collect();
    assert_eq!(order, [3, 2]);
}

/// A request that is queued until just before its deadline and then rejected leaves the client no time to
/// use another instance.
#[test]
fn a_request_is_rejected_long_before_its_deadline() {
    let mut queue = queue(10);
    assert!(
        queue
            .push(
                at(0),
                queued(1, "desk", admission::Priority::Normal, 60_000)
            )
            .is_empty()
    );
    let short = queue.push(at(0), queued(2, "desk", admission::Priority::Normal, 10));
    assert_eq!(short[0].reason, refusal::RefusalReason::DeadlineTooShort);
    assert!(queue.expire(at(499)).is_empty());
    let rejected = queue.expire(at(500));
    assert_eq!(rejected[0].reason, refusal::RefusalReason::QueueTimeout);
    assert!(queue.is_empty());
}

/// Ten requests a second leave the queue, and twenty more arrive at once. A request that can't be served
/// within the maximum wait is rejected on arrival; its retry-after is the time until the queued requests are
/// served.
#[test]
fn retry_after_follows_the_drain_rate() {
    let mut queue = admission::Queue::new(admission::QueueSettings {
        max_wait_ms: 1_000,
        ..Default::default()
    });
    let normal = |request| queued(request, "desk", admission::Priority::Normal, 60_000);
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
    for rejected in refused {
        assert_eq!(rejected.reason, refusal::RefusalReason::Overloaded);
        assert_eq!(rejected.retry_after, time::SpanMs::new(1_100));
    }
}

/// Requests arrive at a low rate and are served at once. The low rate at which they leave the queue is not
/// the capacity of the backend servers, so requests that have to wait later must not be rejected because of
/// this rate.
#[test]
fn a_low_arrival_rate_is_not_taken_for_a_slow_drain() {
    let mut queue = queue(10);
    for step in 0..20 {
        let now = at(step * 400);
        for request in 0..2 {
            let normal = queued(request, "desk", admission::Priority::Normal, 60_000);
            assert!(queue.push(now, normal).is_empty());
        }
        assert!(queue.pop(now, |_| true).is_some());
        assert!(queue.pop(now, |_| true).is_some());
    }
    for (request, now_ms) in [(0, 8_000), (1, 8_300)] {
        let normal = queued(request, "desk", admission::Priority::Normal, 60_000);
        assert!(queue.push(at(now_ms), normal).is_empty());
    }
}

/// One service receives a flood of requests. Requests of another service must not wait behind the flood.
#[test]
fn services_are_served_in_turn() {
    let mut queue = queue(10);
    for request in 0..5 {
        let _ = queue.push(
            at(0),
            queued(request, "a", admission::Priority::High, 2_000),
        );
    }
    let _ = queue.push(at(0), queued(10, "b", admission::Priority::Low, 2_000));
    let first: Vec<_> = (0..3).filter_map(|_| queue.pop(at(1), |_| true)).collect();
    assert_eq!(first, [0, 10, 1]);
    assert_eq!(queue.pop(at(1), |service| service.as_str() == "b"), None);
}
