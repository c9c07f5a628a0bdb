//! Tests of whether another server is tried after an exchange, and how long an attempt may take.
//!
//! A booking is a request of a non-idempotent route: it must not run twice. The objective is the time within which a
//! route's requests should be answered.

mod support;

use damaskvane_core::time::SpanMs;
use damaskvane_routing::configuration::{Route, RouteKind};
use damaskvane_routing::placement::{Choice, Pick};
use damaskvane_routing::pool::ExchangeEnd;
use damaskvane_routing::retry::{self, Progress};
use support::{at, configuration, placer, pool_of, request, service_id};

const MAY_HAVE_RUN: [ExchangeEnd; 6] = [
    ExchangeEnd::Broken,
    ExchangeEnd::Malformed,
    ExchangeEnd::Silent,
    ExchangeEnd::Failed,
    ExchangeEnd::Abandoned,
    ExchangeEnd::Withdrawn,
];

/// Guards against a booking that runs twice: its connection breaks after the request was sent, and the server may have
/// run it. A second attempt would charge the caller twice; a response that reports *not run* would make the caller
/// repeat the request.
#[test]
fn a_request_that_may_have_run_is_not_repeated_and_not_reported_as_not_run() {
    for end in MAY_HAVE_RUN {
        let mut progress = Progress::new(RouteKind::NonIdempotent, 3);
        progress.record(end, SpanMs::ZERO);
        assert!(!progress.may_try_again(), "{end:?}");
        assert!(!progress.is_proven_not_run(), "{end:?}");
    }
}

/// Guards against a needless refusal: a full server rejects a booking and reports that the booking was not run, so
/// another server may run it.
#[test]
fn a_rejected_request_goes_to_another_server() {
    for end in [
        ExchangeEnd::Shed,
        ExchangeEnd::Misdirected,
        ExchangeEnd::Unreachable,
    ] {
        let mut progress = Progress::new(RouteKind::NonIdempotent, 2);
        progress.record(end, SpanMs::ZERO);
        assert!(progress.may_try_again(), "{end:?}");
        assert!(progress.is_proven_not_run(), "{end:?}");
    }
}

/// Guards against a request that is reported as *not run* although it may have run: one server proved by its rejection
/// that it did not run the request, but an earlier exchange with another server ended without such a proof.
#[test]
fn the_proof_of_not_run_is_lost_with_the_first_exchange_without_it() {
    let mut progress = Progress::new(RouteKind::Idempotent, 4);
    progress.record(ExchangeEnd::Broken, SpanMs::ZERO);
    progress.record(ExchangeEnd::Shed, SpanMs::ZERO);
    assert!(!progress.is_proven_not_run());
}

/// Guards against a request that is sent to more servers than the maximum number of attempts of its route, however its
/// exchanges end.
#[test]
fn attempts_limit_the_servers_that_receive_a_request() {
    let mut progress = Progress::new(RouteKind::Idempotent, 2);
    progress.record(ExchangeEnd::Failed, SpanMs::ZERO);
    assert!(progress.may_try_again());
    progress.record(ExchangeEnd::Shed, SpanMs::ZERO);
    assert!(!progress.may_try_again());
}

/// Returns a route whose requests exceed their objective on servers that haven't handled the object recently, and the
/// server selected for one of them.
fn slow_work() -> (Route, Pick) {
    let route = Route {
        objective_ms: 1_000,
        timeout_ms: 4_000,
        ..support::route()
    };
    let mut placer = placer("east-a");
    for _ in 0..500 {
        let baselines = &mut placer.baselines;
        baselines.record(&route.name, route.objective_ms, false, 1_600.0);
    }
    let pool = pool_of(&[("east-a", 2)]);
    let service = service_id();
    let request = request(&route, &service, 7);
    let choice = placer.choose(at(1_000), &pool, &configuration(), &request, 1);
    let Choice::Send(pick) = choice else {
        panic!("the request is refused");
    };
    (route, pick)
}

/// Guards against first runs that are repeated under load. After a start, no server has handled any object recently,
/// and a first run takes 1.6 s where the objective is one second. With a timeout of two objectives, a fifth of the
/// first runs would be repeated on another server that is as busy, and all requests would wait.
#[test]
fn a_first_run_on_a_healthy_server_is_not_abandoned() {
    let (route, pick) = slow_work();
    let progress = Progress::new(RouteKind::Idempotent, 2);
    let attempt_timeout_ms = retry::attempt_timeout_ms(&route, &pick, &progress, 4_000);
    assert!(attempt_timeout_ms.is_some_and(|attempt_timeout_ms| attempt_timeout_ms >= 2_200));
}

/// Guards against wasted slots (the requests that a server can run at the same time): a server doesn't respond, and the
/// time until the caller's timeout is too short for a response of another server.
#[test]
fn no_server_is_tried_that_could_not_respond_in_time() {
    let (route, pick) = slow_work();
    let progress = Progress::new(RouteKind::Idempotent, 2);
    assert_eq!(
        retry::attempt_timeout_ms(&route, &pick, &progress, 3_000),
        None
    );
    let booking = Progress::new(RouteKind::NonIdempotent, 2);
    assert_eq!(
        retry::attempt_timeout_ms(&route, &pick, &booking, 9_000),
        None
    );
}

/// Guards against an idempotent request that is given up although no server answered it: this instance took it back from
/// its server, and it may run on another one. Taken back a second time, it has used an attempt.
#[test]
fn the_first_withdrawal_of_a_request_takes_no_attempt() {
    let mut progress = Progress::new(RouteKind::Idempotent, 2);
    progress.record(ExchangeEnd::Withdrawn, SpanMs::ZERO);
    assert!(progress.was_sent());
    assert!(!progress.is_proven_not_run());
    progress.record(ExchangeEnd::Broken, SpanMs::ZERO);
    assert!(progress.may_try_again());
    progress.record(ExchangeEnd::Withdrawn, SpanMs::ZERO);
    assert!(!progress.may_try_again());
}

/// Guards against a request that is refused because three servers of a failed rack refuse its connections, which takes a
/// millisecond, while others would serve it; and against one that waits for the timeout of one silent server after another.
#[test]
fn unreachable_servers_cost_a_request_a_limited_time_and_not_three_attempts() {
    let (refused, timed_out) = (SpanMs::new(1), SpanMs::new(400));
    let mut progress = Progress::new(RouteKind::NonIdempotent, 2);
    for _ in 0..7 {
        progress.record(ExchangeEnd::Unreachable, refused);
        assert!(progress.may_try_again());
    }
    progress.record(ExchangeEnd::Unreachable, refused);
    assert!(!progress.may_try_again());
    let mut progress = Progress::new(RouteKind::NonIdempotent, 2);
    for _ in 0..3 {
        assert!(progress.may_try_again());
        progress.record(ExchangeEnd::Unreachable, timed_out);
    }
    assert!(!progress.may_try_again());
    assert!(progress.is_proven_not_run());
}
