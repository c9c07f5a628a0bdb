//! Tests of what servers say of themselves: rests, leaving, and to which of their incarnations that belongs.

mod support;

use damaskvane_core::time::SpanMs;
use damaskvane_routing::pool::{
    Change, RestStatement, RetryAfter, ServerKey, ServerReport, ServerRest, StatementSource,
    Unavailable,
};
use support::statements::{NO_DECIMALS, check, leaving, respond, rest};
use support::{at, entry, pick, pool_of, server_id};

#[test]
fn decimal_seconds_are_times_to_retry_after() {
    for (text, ms) in [
        ("3", 3_000),
        ("0", 0),
        ("1.5", 1_500),
        (" 0.25 ", 250),
        ("0.0001", 1),
        ("86400", 86_400_000),
    ] {
        let parsed: Result<RetryAfter, _> = text.parse();
        assert_eq!(parsed.map(RetryAfter::span), Ok(SpanMs::new(ms)), "{text}");
    }
}

/// A server that names nonsense must not be left unused for a year, nor end the process.
#[test]
fn other_texts_are_no_times_to_retry_after() {
    let longer = ["86401", "000000000000000000000000000000001"];
    for text in NO_DECIMALS.iter().chain(&longer) {
        assert!(text.parse::<RetryAfter>().is_err(), "{text}");
    }
}

#[test]
fn a_time_to_retry_after_is_written_in_seconds() {
    let parsed: RetryAfter = "1.50".parse().expect("a time");
    assert_eq!(parsed.to_string(), "1.5");
}

/// Each rejection asks for a rest of its own: a shorter one and a success must not end a longer one.
#[test]
fn a_shorter_rest_and_a_success_end_no_longer_one() {
    let mut pool = pool_of(&[("east-a", 1)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("3"));
    respond(&mut pool, 1_500, "east-a-0", &rest("1"));
    let success = ServerReport {
        is_signed: true,
        is_able: true,
        ..ServerReport::default()
    };
    respond(&mut pool, 1_600, "east-a-0", &success);
    assert_eq!(check(&pool, 4_000, "east-a-0"), Err(Unavailable::Resting));
    assert_eq!(check(&pool, 4_001, "east-a-0"), Ok(()));
}

/// A later rejection that asks for longer must be obeyed as well.
#[test]
fn a_longer_rest_extends_a_shorter_one() {
    let mut pool = pool_of(&[("east-a", 1)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("1"));
    respond(&mut pool, 1_500, "east-a-0", &rest("2.5"));
    assert_eq!(check(&pool, 4_000, "east-a-0"), Err(Unavailable::Resting));
    assert_eq!(check(&pool, 4_001, "east-a-0"), Ok(()));
}

/// Values that can't be read must change nothing, neither begin a rest nor end one.
#[test]
fn an_unreadable_rest_changes_nothing() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let unreadable = ServerReport {
        rest: RestStatement::Unreadable,
        ..ServerReport::default()
    };
    respond(&mut pool, 500, "east-a-0", &unreadable);
    assert_eq!(check(&pool, 501, "east-a-0"), Ok(()));
    respond(&mut pool, 1_000, "east-a-0", &rest("3"));
    respond(&mut pool, 1_500, "east-a-0", &unreadable);
    assert_eq!(check(&pool, 3_999, "east-a-0"), Err(Unavailable::Resting));
}

/// Another server at the address speaks for itself: the one that was meant would be left unused.
#[test]
fn what_another_server_says_at_the_address_counts_for_nothing() {
    let mut pool = pool_of(&[("east-a", 1)]);
    for report in [rest("3"), leaving()] {
        let of_another = ServerReport {
            is_other_server: true,
            ..report
        };
        respond(&mut pool, 1_000, "east-a-0", &of_another);
    }
    assert_eq!(check(&pool, 1_001, "east-a-0"), Ok(()));
}

/// A new incarnation owes nothing to the word of the old one, also if that arrives after its entry.
#[test]
fn a_restart_ends_rests_and_leaving() {
    let mut pool = pool_of(&[("east-a", 1)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("30"));
    respond(&mut pool, 1_000, "east-a-0", &leaving());
    let mut restarted = entry("east-a-0", "east-a");
    restarted.started_unix_ms += 5_000;
    pool.apply(at(2_000), restarted);
    assert_eq!(check(&pool, 2_001, "east-a-0"), Ok(()));
    for report in [rest("30"), leaving()] {
        respond(&mut pool, 2_005, "east-a-0", &report);
    }
    assert_eq!(check(&pool, 2_010, "east-a-0"), Ok(()));
}

/// The entry of a server that lives can lapse and come back. What the server has said holds all the while, or it is
/// sent in its rest what it was spared.
#[test]
fn what_a_server_has_said_outlives_its_entry() {
    let mut pool = pool_of(&[("east-a", 2)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("5"));
    respond(&mut pool, 1_000, "east-a-1", &leaving());
    for name in ["east-a-0", "east-a-1"] {
        pool.remove(at(2_000), &server_id(name));
        pool.apply(at(3_000), entry(name, "east-a"));
    }
    assert_eq!(check(&pool, 6_000, "east-a-0"), Err(Unavailable::Resting));
    assert_eq!(check(&pool, 6_001, "east-a-0"), Ok(()));
    assert_eq!(check(&pool, 60_000, "east-a-1"), Err(Unavailable::Leaving));
}

/// The entry lapses while a request is on its way. What the server says in its response, and what it had said, holds for
/// requests that are about to be written, and when the entry comes back.
#[test]
fn what_a_server_says_while_its_entry_is_missing_counts() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let id = server_id("east-a-0");
    pool.remove(at(900), &id);
    respond(&mut pool, 1_000, "east-a-0", &rest("3"));
    let known = pool.availability(&id).expect("a server that was known");
    assert_eq!(known.check(at(1_001)), Err(Unavailable::Resting));
    pool.apply(at(2_000), entry("east-a-0", "east-a"));
    assert_eq!(check(&pool, 4_000, "east-a-0"), Err(Unavailable::Resting));
    assert_eq!(pool.availability(&server_id("never-seen")), None);
}

/// A new incarnation whose predecessor's entry had lapsed must be used at once.
#[test]
fn what_a_server_has_said_does_not_pass_to_its_successor() {
    let mut pool = pool_of(&[("east-a", 1)]);
    respond(&mut pool, 1_000, "east-a-0", &rest("30"));
    respond(&mut pool, 1_000, "east-a-0", &leaving());
    pool.remove(at(2_000), &server_id("east-a-0"));
    let mut restarted = entry("east-a-0", "east-a");
    restarted.started_unix_ms += 5_000;
    pool.apply(at(3_000), restarted);
    assert_eq!(check(&pool, 3_001, "east-a-0"), Ok(()));
}

/// A server that leaves gets no new requests, whatever its entry says: its objects move as for an entry that drains.
#[test]
fn the_objects_of_a_server_that_leaves_move() {
    let mut pool = pool_of(&[("east-a", 2)]);
    let first = pick(&mut pool, "east-a", 7).server;
    respond(&mut pool, 900, first.as_str(), &leaving());
    let second = pick(&mut pool, "east-a", 7);
    assert_ne!(second.server, first);
    assert_eq!((second.rank, second.passed_over), (0, None));
    let mut again = entry(first.as_str(), "east-a");
    again.sequence += 5;
    pool.apply(at(950), again);
    assert_ne!(pick(&mut pool, "east-a", 7).server, first);
}

/// Another instance tells of a server that leaves. It must be believed for the incarnation that it names, and for no other.
#[test]
fn a_report_that_a_server_leaves_is_of_one_incarnation() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let key = ServerKey::of(&server_id("east-a-0"));
    let started = entry("east-a-0", "east-a").started_unix_ms;
    assert_eq!(pool.apply_leaving(at(1_000), key, started - 1), None);
    assert_eq!(check(&pool, 1_001, "east-a-0"), Ok(()));
    let news = pool.apply_leaving(at(1_100), key, started);
    assert_eq!(news, Some(server_id("east-a-0")));
    assert_eq!(pool.apply_leaving(at(1_200), key, started), None);
    assert_eq!(check(&pool, 1_201, "east-a-0"), Err(Unavailable::Leaving));
    // A report of a later incarnation comes before its entry.
    assert_eq!(pool.apply_leaving(at(1_300), key, started + 5), None);
    let mut restarted = entry("east-a-0", "east-a");
    restarted.started_unix_ms += 5;
    let change = pool.apply(at(1_400), restarted);
    assert_eq!(change, Some(Change::Restarted(server_id("east-a-0"))));
    assert_eq!(check(&pool, 1_401, "east-a-0"), Err(Unavailable::Leaving));
}

/// An instance that starts hears that a server leaves before it has read the list of servers.
#[test]
fn a_report_on_a_server_that_is_not_known_yet_is_kept() {
    let mut pool = pool_of(&[]);
    let key = ServerKey::of(&server_id("new"));
    assert_eq!(pool.apply_leaving(at(100), key, 1_000), None);
    pool.apply(at(200), entry("new", "east-a"));
    assert_eq!(check(&pool, 201, "new"), Err(Unavailable::Leaving));
}

/// Statements of servers outside the pool must not use up the memory of a process.
#[test]
fn the_statements_of_servers_outside_the_pool_are_bounded() {
    let mut pool = pool_of(&[]);
    for number in 0..3_000_u64 {
        let key = ServerKey::of(&server_id(&format!("gone-{number}")));
        pool.apply_leaving(at(number), key, 1_000);
    }
    pool.apply(at(4_000), entry("gone-2999", "east-a"));
    pool.apply(at(4_000), entry("gone-0", "east-a"));
    assert_eq!(check(&pool, 4_001, "gone-2999"), Err(Unavailable::Leaving));
    assert_eq!(check(&pool, 4_001, "gone-0"), Ok(()));
}

/// One instance of many reports that a server leaves, and each only once.
#[test]
fn that_a_server_leaves_is_reported_once() {
    let mut pool = pool_of(&[("east-a", 2)]);
    let id = server_id("east-a-0");
    assert_eq!(pool.report_leaving(&id), None);
    respond(&mut pool, 1_000, "east-a-0", &leaving());
    assert!(pool.report_leaving(&id).is_some());
    assert_eq!(pool.report_leaving(&id), None);
    let other = ServerKey::of(&server_id("east-a-1"));
    pool.apply_leaving(at(1_000), other, 1_000);
    assert_eq!(pool.report_leaving(&server_id("east-a-1")), None);
    assert_eq!(pool.statements(at(1_000)).count(), 2);
}

/// A request that this instance carried for another was rejected: the server wants nothing from this instance.
#[test]
fn a_rest_that_another_instance_was_told_of_holds_here() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let key = ServerKey::of(&server_id("east-a-0"));
    let change = pool.apply_rest(at(1_000), key, SpanMs::new(2_000));
    assert!(change.is_some());
    assert_eq!(check(&pool, 2_999, "east-a-0"), Err(Unavailable::Resting));
    assert!(pool.apply_rest(at(1_100), key, SpanMs::new(500)).is_none());
}

/// Times are rounded down to a millisecond. A rest that is counted from the rounded time ends too early by a part of one, and
/// a request reaches the server in it.
#[test]
fn a_rest_does_not_end_earlier_by_a_rounded_clock() {
    let mut rest = ServerRest::default();
    // The response arrives late in the millisecond, and the request is sent early in its millisecond.
    rest.begin(at(1_000), SpanMs::new(3_000), StatementSource::Response);
    assert!(rest.is_resting(at(4_000)));
    assert!(!rest.is_resting(at(4_001)));
}
