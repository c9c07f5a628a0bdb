//! Tests of what an instance knows of a server's limit: which response, report or value changes it.

mod support;

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::limit::RequestRate;
use damaskvane_routing::placement::{Choice, RefusalReason};
use damaskvane_routing::pool::{LimitStatement, PeerLimitReport, ServerKey, ServerLimit};
use support::statements::NO_DECIMALS;
use support::{at, choose, entry, pool, pool_of, server_id};

fn rate(per_s: f64) -> RequestRate {
    RequestRate::new(per_s).expect("a rate")
}

fn limited(per_s: f64) -> LimitStatement {
    LimitStatement::Limited(rate(per_s))
}

fn unknown() -> ServerLimit {
    ServerLimit::unknown(TimeMs::ZERO)
}

/// Returns a limit of 3 a second, named in the response to a request that was sent at 1,000 ms.
fn known() -> ServerLimit {
    let mut limit = unknown();
    limit.apply_response(at(1_100), at(1_000), limited(3.0));
    limit
}

#[test]
fn decimal_numbers_are_rates() {
    for (text, per_s) in [
        ("3", 3.0),
        ("4.5", 4.5),
        (" 0.25 ", 0.25),
        ("0", 0.0),
        ("1000000", 1e6),
    ] {
        assert_eq!(text.parse(), Ok(rate(per_s)), "{text}");
    }
}

/// A server in need that names nonsense must not lose the limit that stands, nor get one of a millionth or a million.
#[test]
fn other_texts_are_no_rates() {
    for text in NO_DECIMALS {
        assert!(text.parse::<RequestRate>().is_err(), "{text:?}");
    }
    assert!(RequestRate::new(f64::NAN).is_none());
    assert!(RequestRate::new(-0.1).is_none());
}

/// Responses arrive in another order than their requests were sent: one that was made before the limit must not end it.
#[test]
fn only_a_response_to_a_later_request_ends_a_limit() {
    let mut limit = known();
    assert!(
        limit
            .apply_response(at(2_000), at(900), LimitStatement::Unlimited)
            .is_none()
    );
    assert!(
        limit
            .apply_response(at(2_000), at(1_000), LimitStatement::Unlimited)
            .is_none()
    );
    assert_eq!(limit.rate(), Some(rate(3.0)));
    assert!(
        limit
            .apply_response(at(2_000), at(1_001), LimitStatement::Unlimited)
            .is_some()
    );
    assert_eq!(limit.rate(), None);
    assert!(limit.has_ended());
}

/// A request that runs for long may be the first whose response names a limit, although a shorter one got a response since.
#[test]
fn a_response_to_an_earlier_request_imposes_and_lowers_a_limit() {
    let mut ended = known();
    ended.apply_response(at(2_000), at(1_900), LimitStatement::Unlimited);
    ended.apply_response(at(2_100), at(500), limited(2.0));
    assert_eq!(ended.rate(), Some(rate(2.0)));
    let mut limit = known();
    limit.apply_response(at(2_000), at(500), limited(9.0));
    assert_eq!(
        limit.rate(),
        Some(rate(3.0)),
        "an earlier one raises nothing"
    );
    limit.apply_response(at(2_000), at(500), limited(1.0));
    assert_eq!(limit.rate(), Some(rate(1.0)));
}

#[test]
fn unreadable_values_and_no_response_change_nothing() {
    for statement in [LimitStatement::Nothing, LimitStatement::Unreadable] {
        let mut limit = known();
        assert!(
            limit
                .apply_response(at(5_000), at(4_000), statement)
                .is_none()
        );
        assert_eq!(limit.rate(), Some(rate(3.0)));
        assert!(
            unknown()
                .apply_response(at(5_000), at(4_000), statement)
                .is_none()
        );
    }
}

/// A server starts again under its name. What its predecessor said must bind nobody, also if it arrives now.
#[test]
fn another_incarnation_has_no_limit_of_its_predecessor() {
    let mut pool = pool();
    pool.apply(at(0), entry("a", "east-a"));
    let id = server_id("a");
    let mut server = pool.server_mut(&id).expect("a known server");
    server
        .availability
        .limit
        .apply_response(at(200), at(100), limited(3.0));
    drop(server);
    assert_eq!(pool.limited().len(), 1);
    let mut restarted = entry("a", "east-a");
    restarted.started_unix_ms += 5_000;
    pool.apply(at(1_000), restarted);
    assert_eq!(pool.limited().len(), 0);
    let mut server = pool.server_mut(&id).expect("a known server");
    assert!(
        server
            .availability
            .limit
            .apply_response(at(1_100), at(900), limited(3.0))
            .is_none()
    );
    assert!(
        server
            .availability
            .limit
            .apply_report(at(1_100), at(900), Some(rate(3.0)))
            .is_none()
    );
    assert!(
        server
            .availability
            .limit
            .apply_response(at(1_200), at(1_100), limited(2.0))
            .is_some()
    );
}

/// An instance that has just started hears of a limit that is older than its own process, before it knows the server.
#[test]
fn a_newcomer_takes_over_limits_before_it_knows_the_servers() {
    let mut pool = pool();
    let report = |server: &str, rate, age_ms| PeerLimitReport {
        server: ServerKey::of(&server_id(server)),
        rate,
        age: SpanMs::new(age_ms),
    };
    assert!(
        pool.apply_limit_report(at(10), report("a", Some(rate(3.0)), 60_000))
            .is_none()
    );
    pool.apply(at(20), entry("a", "east-a"));
    pool.apply(at(20), entry("b", "east-a"));
    let known = pool
        .server(&server_id("a"))
        .expect("a known server")
        .availability
        .limit;
    assert_eq!(known.rate(), Some(rate(3.0)));
    let change = pool.apply_limit_report(at(30), report("b", Some(rate(1.0)), 60_000));
    assert!(change.is_some(), "older than the process, and news to it");
}

/// A process that knows nothing of a limit must not report that it has ended.
#[test]
fn what_is_unknown_has_not_ended() {
    assert!(!unknown().has_ended());
    assert!(!known().has_ended());
}

/// Reports take time on their way: one that a limit has ended may be older than the response that named it.
#[test]
fn reports_end_a_limit_only_if_they_are_clearly_newer() {
    let mut limit = known();
    assert!(limit.apply_report(at(1_200), at(1_100), None).is_none());
    assert!(
        limit
            .apply_report(at(1_200), at(999), Some(rate(9.0)))
            .is_none()
    );
    assert!(limit.apply_report(at(1_200), at(1_101), None).is_some());
    let mut lowered = known();
    assert!(
        lowered
            .apply_report(at(1_200), at(1_001), Some(rate(1.0)))
            .is_some()
    );
}

/// All instances learn of a limit at about the same time; only the first one reports it.
#[test]
fn a_limit_that_another_instance_has_reported_is_no_news() {
    let mut limit = known();
    assert!(limit.is_news());
    limit.apply_report(at(1_200), at(900), Some(rate(3.0)));
    assert!(
        !limit.is_news(),
        "the same limit, although the report is older"
    );
    let mut other = known();
    other.apply_report(at(1_200), at(900), Some(rate(2.0)));
    assert!(other.is_news(), "another limit");
    other.record_reported();
    assert!(!other.is_news());
    other.apply_response(at(2_000), at(1_900), limited(1.0));
    assert!(other.is_news(), "it has changed since");
}

/// Urgent requests must not be refused because a less urgent one got no token.
#[test]
fn a_refused_token_holds_back_requests_that_are_no_more_urgent() {
    let mut limit = known();
    limit.record_refused(at(2_000), 1);
    assert!(limit.may_have_token(at(1_500), 0));
    assert!(!limit.may_have_token(at(1_500), 1));
    assert!(!limit.may_have_token(at(1_500), 2));
    assert!(limit.may_have_token(at(2_000), 2));
    limit.apply_response(at(1_600), at(1_500), LimitStatement::Unlimited);
    assert!(limit.may_have_token(at(1_600), 2), "the limit has ended");
}

/// A request whose usual servers have no token goes to any server that has capacity, in any region; with none it is refused
/// for the limits.
#[test]
fn requests_pass_over_servers_without_a_token() {
    let mut pool = pool_of(&[("east-a", 14), ("east-b", 3), ("west-a", 1)]);
    let names: Vec<_> = pool.servers().map(|one| one.entry.id.clone()).collect();
    let limit_all = |pool: &mut damaskvane_routing::pool::ServerPool, spared: Option<usize>| {
        for (number, name) in names.iter().enumerate() {
            let mut server = pool.server_mut(name).expect("a known server");
            server.availability.limit = unknown();
            if Some(number) != spared {
                server
                    .availability
                    .limit
                    .apply_response(at(500), at(400), limited(1.0));
                server.availability.limit.record_refused(at(5_000), 0);
            }
        }
    };
    for (spared, name) in names.iter().enumerate() {
        limit_all(&mut pool, Some(spared));
        for object in 0..8 {
            let Choice::Send(pick) = choose(&mut pool, "east-a", object) else {
                panic!("refused although {name} has capacity");
            };
            assert_eq!(pick.server, *name);
        }
    }
    limit_all(&mut pool, None);
    let Choice::Refuse(refusal) = choose(&mut pool, "east-a", 1) else {
        panic!("sent without a token");
    };
    assert_eq!(refusal.reason, RefusalReason::Limited);
}
