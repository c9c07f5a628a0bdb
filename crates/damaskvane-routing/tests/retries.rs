//! What may follow an exchange.

mod support;

use damaskvane_routing::configuration::{Route, RouteKind};
use damaskvane_routing::placement::{Choice, Pick};
use damaskvane_routing::pool::ExchangeEnd;
use damaskvane_routing::retry::{self, Progress};
use support::{at, configuration, placer, pool_of, request, service_id};

const MAY_HAVE_RUN: [ExchangeEnd; 5] = [
    ExchangeEnd::Broken,
    ExchangeEnd::Malformed,
    ExchangeEnd::Silent,
    ExchangeEnd::Failed,
    ExchangeEnd::Abandoned,
];

/// A booking is sent and its connection breaks: the server may have run it. Sent again, the caller would
/// pay twice; answered with *not run*, the caller would send it again itself.
#[test]
fn a_request_that_may_have_run_is_not_repeated_and_not_called_not_run() {
    for end in MAY_HAVE_RUN {
        let mut progress = Progress::new(RouteKind::NonIdempotent, 3);
        progress.record(end);
        assert!(!progress.may_try_again(), "{end:?}");
        assert!(!progress.is_proven_not_run(), "{end:?}");
    }
}

/// A full server turns a booking away and says that it didn't run it. Another server may have it.
#[test]
fn a_request_that_was_turned_away_goes_to_another_server() {
    for end in [
        ExchangeEnd::Shed,
        ExchangeEnd::Misdirected,
        ExchangeEnd::Unreachable,
    ] {
        let mut progress = Progress::new(RouteKind::NonIdempotent, 2);
        progress.record(end);
        assert!(progress.may_try_again(), "{end:?}");
        assert!(progress.is_proven_not_run(), "{end:?}");
    }
}

/// One proof doesn't cover another exchange: a request that one server turned away and the next one may
/// have run must not be called *not run*.
#[test]
fn a_proof_is_lost_with_the_first_exchange_that_lacks_it() {
    let mut progress = Progress::new(RouteKind::Idempotent, 4);
    progress.record(ExchangeEnd::Broken);
    progress.record(ExchangeEnd::Shed);
    assert!(!progress.is_proven_not_run());
}

/// The route's attempts bound the servers that a request reaches, whatever their answers.
#[test]
fn attempts_bound_the_servers_that_get_a_request() {
    let mut progress = Progress::new(RouteKind::Idempotent, 2);
    progress.record(ExchangeEnd::Failed);
    assert!(progress.may_try_again());
    progress.record(ExchangeEnd::Shed);
    assert!(!progress.may_try_again());
}

/// A route whose work takes longer than its objective wherever it isn't remembered, as a server is asked for it.
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
        panic!("refused");
    };
    (route, pick)
}

/// After a start no server remembers anything, and first runs take 1.6 s where the objective is one second. Given up
/// after two objectives, a fifth of them would run once more on another server, which is as busy, and all would wait.
#[test]
fn a_server_at_work_on_a_first_run_is_not_given_up() {
    let (route, pick) = slow_work();
    let progress = Progress::new(RouteKind::Idempotent, 2);
    let attempt_timeout_ms = retry::attempt_timeout_ms(&route, &pick, &progress, 4_000);
    assert!(attempt_timeout_ms.is_some_and(|attempt_timeout_ms| attempt_timeout_ms >= 2_200));
}

/// A server has gone silent, and its caller's time is nearly over. Asking another one that can't answer in time
/// would cost a slot and bring nothing.
#[test]
fn no_other_server_is_asked_that_could_not_answer_in_time() {
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
