//! What may follow an exchange.

use damaskvane_routing::configuration::RouteKind;
use damaskvane_routing::pool::ExchangeEnd;
use damaskvane_routing::retry::Progress;

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
        progress.note(end);
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
        progress.note(end);
        assert!(progress.may_try_again(), "{end:?}");
        assert!(progress.is_proven_not_run(), "{end:?}");
    }
}

/// One proof doesn't cover another exchange: a request that one server turned away and the next one may
/// have run must not be called *not run*.
#[test]
fn a_proof_is_lost_with_the_first_exchange_that_lacks_it() {
    let mut progress = Progress::new(RouteKind::Idempotent, 4);
    progress.note(ExchangeEnd::Broken);
    progress.note(ExchangeEnd::Shed);
    assert!(!progress.is_proven_not_run());
}

/// The route's attempts bound the servers that a request reaches, whatever their answers.
#[test]
fn attempts_bound_the_servers_that_get_a_request() {
    let mut progress = Progress::new(RouteKind::Idempotent, 2);
    progress.note(ExchangeEnd::Failed);
    assert!(progress.may_try_again());
    progress.note(ExchangeEnd::Shed);
    assert!(!progress.may_try_again());
}
