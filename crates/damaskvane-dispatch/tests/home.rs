//! Tests of the table of idempotency keys at their home instance.
//!
//! A key names one request of a client across its attempts. Its home is the instance and incarnation (one
//! start or renewal) that alone may run it. A tombstone is the digest of a key whose outcome is no longer
//! retained.

mod support;

use damaskvane_core::ids;
use damaskvane_dispatch::{home, outcome, refusal};

use support::keys::{
    RESPONSE, Table, at, attempt, dispatch, fingerprint_of, home_of, not_run, reason, table,
};

/// The response to a client is lost, and the client repeats its request. If the second attempt ran, the
/// client would have two bookings.
#[test]
fn a_repeated_request_gets_the_same_outcome() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
    let finish = table.finish(at(10), permit, outcome::Outcome::Completed(RESPONSE));
    assert!(finish.waiters.is_empty());
    let repeat = table.begin(at(20), &attempt("k", "a/1", 2));
    assert!(
        matches!(
            repeat,
            home::BeginDecision::Answer(outcome::Outcome::Completed(RESPONSE))
        ),
        "{repeat:?}"
    );
}

/// A client with a short timeout sends the same key through three entry instances at once. All three attempts
/// must get the outcome of the attempt that runs.
#[test]
fn concurrent_attempts_join_the_running_one() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
    let mut joined = Vec::new();
    for try_number in 2..=3 {
        match table.begin(at(1), &attempt("k", "a/1", try_number)) {
            home::BeginDecision::Join(waiter) => joined.push(waiter),
            other => panic!("expected a join, got {other:?}"),
        }
    }
    let finish = table.finish(at(10), permit, outcome::Outcome::Completed(RESPONSE));
    assert_eq!(finish.waiters, joined);
}

/// A client library uses one key for two bookings. A replay of the first response would report the second
/// booking as completed, although it never ran.
#[test]
fn a_key_with_another_body_is_refused() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
    let other_body = home::Attempt {
        fingerprint: fingerprint_of("rooms"),
        ..attempt("k", "a/1", 2)
    };
    let expected = Some(refusal::RefusalReason::KeyReusedWithOtherBody);
    assert_eq!(reason(&table.begin(at(1), &other_body)), expected);
    let _ = table.finish(at(2), permit, outcome::Outcome::Completed(RESPONSE));
    assert_eq!(reason(&table.begin(at(3), &other_body)), expected);
}

/// The home is killed and restarted without its key table, and the client repeats its request. If the new
/// incarnation ran the key, the key could run twice: the previous incarnation may have sent it to a backend
/// server.
#[test]
fn keys_of_other_homes_are_forwarded_or_unknown() {
    let mut table = table("a/2");
    let restarted = table.begin(at(0), &attempt("k", "a/1", 2));
    assert_eq!(
        reason(&restarted),
        Some(refusal::RefusalReason::HomeRestarted)
    );
    let replaced = table.begin(at(0), &attempt("k", "a/3", 2));
    assert_eq!(
        reason(&replaced),
        Some(refusal::RefusalReason::HomeRestarted)
    );
    let elsewhere = table.begin(at(0), &attempt("k", "b/1", 1));
    assert!(matches!(elsewhere, home::BeginDecision::Forward(home) if home == home_of("b/1")));
}

/// An attempt arrives after the outcome of its key was removed. If the key were treated as new, it would run
/// twice. The answer *not run* would be false, since the key has run.
#[test]
fn a_key_is_unknown_after_its_window() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
    let _ = table.finish(at(10), permit, outcome::Outcome::Completed(RESPONSE));
    assert!(table.expire(at(700_000)).is_empty());
    assert!(table.is_empty());
    let late = table.begin(at(700_000), &attempt("k", "a/1", 2));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::KeyExpired));
    table.renew(ids::Incarnation::new(2));
    let later = table.begin(at(700_001), &attempt("k", "a/1", 3));
    assert_eq!(reason(&later), Some(refusal::RefusalReason::KeyExpired));
    drop(dispatch(&mut table, 700_002, &attempt("l", "a/2", 1)));
}

/// The clock of the process steps back by minutes. Outcomes must neither be removed early nor be retained
/// without end.
#[test]
fn a_backward_clock_step_does_not_change_expiry() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 500_000, &attempt("k", "a/1", 1));
    let _ = table.finish(at(5), permit, outcome::Outcome::Completed(RESPONSE));
    let _ = table.expire(at(0));
    let _ = table.expire(at(600_010));
    assert_eq!(table.len(), 1);
    let _ = table.expire(at(1_100_000));
    assert!(table.is_empty());
}

/// A flood of new keys fills the table. Keys that have run must stay protected against a second run, and
/// new keys must be answered with *not run*.
#[test]
fn a_full_table_refuses_new_keys_and_keeps_existing_ones() {
    let by_entries = home::HomeSettings {
        max_entries: 1,
        ..Default::default()
    };
    let by_bytes = home::HomeSettings {
        max_bytes: 70_000,
        ..Default::default()
    };
    let by_tombstones = home::HomeSettings {
        max_tombstones: 1,
        ..Default::default()
    };
    for settings in [by_entries, by_bytes, by_tombstones] {
        let mut table = Table::new(home_of("a/1"), settings);
        let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
        let refused = table.begin(at(1), &attempt("l", "a/1", 1));
        assert_eq!(reason(&refused), Some(refusal::RefusalReason::KeyTableFull));
        let _ = table.finish(at(2), permit, outcome::Outcome::Completed(RESPONSE));
        let repeat = table.begin(at(3), &attempt("k", "a/1", 2));
        assert!(matches!(
            repeat,
            home::BeginDecision::Answer(outcome::Outcome::Completed(RESPONSE))
        ));
    }
}

/// A first attempt stays unread in the socket of a paused instance. The second attempt is answered with *not
/// run*, and the client stops repeating the request. When the pause ends, the first attempt must not run.
#[test]
fn a_late_attempt_does_not_run_after_a_later_one_was_refused() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 2));
    let (permit, refused) = not_run(permit);
    let _ = table.finish(at(1), permit, refused);
    let late = table.begin(at(2), &attempt("k", "a/1", 1));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::TrySuperseded));
    drop(dispatch(&mut table, 3, &attempt("k", "a/1", 3)));
}

/// A backend server does not respond until every timeout has passed, and the client receives *unknown*.
/// When the outcome arrives late, the next attempt must receive it.
#[test]
fn a_late_outcome_replaces_unknown() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
    assert!(matches!(
        table.begin(at(1), &attempt("k", "a/1", 2)),
        home::BeginDecision::Join(_)
    ));
    let abandoned = table.expire(at(60_000));
    assert_eq!(abandoned.len(), 1);
    assert_eq!(abandoned[0].waiters.len(), 1);
    let unknown = table.begin(at(60_001), &attempt("k", "a/1", 3));
    assert_eq!(reason(&unknown), Some(refusal::RefusalReason::OutcomeLost));
    let _ = table.finish(at(60_002), permit, outcome::Outcome::Completed(RESPONSE));
    let known = table.begin(at(60_003), &attempt("k", "a/1", 4));
    assert!(matches!(
        known,
        home::BeginDecision::Answer(outcome::Outcome::Completed(RESPONSE))
    ));
}

/// Two requests with different bodies use one key, and one of them is refused. An older attempt of the
/// refused request must not run after the other request ended as *not run* and released the key.
#[test]
fn a_refused_body_does_not_run_after_the_other_released_the_key() {
    let mut table = table("a/1");
    let other_body = home::Attempt {
        fingerprint: fingerprint_of("rooms"),
        ..attempt("k", "a/1", 1)
    };
    let permit = dispatch(&mut table, 0, &other_body);
    let reused = table.begin(at(1), &attempt("k", "a/1", 3));
    assert_eq!(
        reason(&reused),
        Some(refusal::RefusalReason::KeyReusedWithOtherBody)
    );
    let (permit, refused) = not_run(permit);
    let _ = table.finish(at(2), permit, refused);
    let late = table.begin(at(3), &attempt("k", "a/1", 2));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::TrySuperseded));
}

/// An instance renews the incarnation of its key table while clients hold lookup responses that name the
/// previous incarnation. New keys of these clients must run for a limited time after the renewal; keys that
/// ran must not run again.
#[test]
fn the_previous_incarnation_accepts_new_keys_for_a_while_after_a_renewal() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("old", "a/1", 1));
    let _ = table.finish(at(10), permit, outcome::Outcome::Completed(RESPONSE));
    assert!(table.expire(at(700_000)).is_empty());
    table.renew(ids::Incarnation::new(2));
    drop(dispatch(&mut table, 710_000, &attempt("new", "a/1", 1)));
    let again = table.begin(at(710_001), &attempt("old", "a/1", 2));
    assert_eq!(reason(&again), Some(refusal::RefusalReason::KeyExpired));
    let _ = table.expire(at(731_000));
    let late = table.begin(at(731_000), &attempt("late", "a/1", 1));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::KeyExpired));
}

/// A table has no capacity for further tombstones and refuses an attempt as *not run*. An earlier attempt
/// with the same key arrives after the renewal of the table. If the earlier attempt ran, the answer *not run*
/// would be false.
#[test]
fn a_full_incarnation_accepts_no_keys_after_a_renewal() {
    let settings = home::HomeSettings {
        max_tombstones: 1,
        ..Default::default()
    };
    let mut table = Table::new(home_of("a/1"), settings);
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
    let _ = table.finish(at(10), permit, outcome::Outcome::Completed(RESPONSE));
    let refused = table.begin(at(20), &attempt("l", "a/1", 2));
    assert_eq!(reason(&refused), Some(refusal::RefusalReason::KeyTableFull));
    let _ = table.expire(at(700_000));
    table.renew(ids::Incarnation::new(2));
    let late = table.begin(at(700_001), &attempt("l", "a/1", 1));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::KeyExpired));
    drop(dispatch(&mut table, 700_002, &attempt("m", "a/2", 1)));
}
