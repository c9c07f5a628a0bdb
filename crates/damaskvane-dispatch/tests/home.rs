//! The table of idempotency keys at their home.

mod support;

use damaskvane_core::ids;
use damaskvane_dispatch::{home, outcome, refusal};

use support::keys::{
    ANSWER, Table, at, attempt, dispatch, fingerprint_of, home_of, not_run, reason, table,
};

/// A client hears nothing, since the answer was lost on the way back, and asks again. If the second
/// try ran, the caterer would be booked twice.
#[test]
fn a_repeat_gets_the_same_answer() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
    let finish = table.finish(at(10), permit, outcome::Outcome::Completed(ANSWER));
    assert!(finish.waiters.is_empty());
    let repeat = table.begin(at(20), &attempt("k", "a/1", 2));
    assert!(
        matches!(
            repeat,
            home::BeginDecision::Answer(outcome::Outcome::Completed(ANSWER))
        ),
        "{repeat:?}"
    );
}

/// The client's impatience sends the same key through three entry instances at once. All three get
/// the one answer.
#[test]
fn tries_at_the_same_time_join_the_one_that_runs() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
    let mut joined = Vec::new();
    for try_number in 2..=3 {
        match table.begin(at(1), &attempt("k", "a/1", try_number)) {
            home::BeginDecision::Join(waiter) => joined.push(waiter),
            other => panic!("no join: {other:?}"),
        }
    }
    let finish = table.finish(at(10), permit, outcome::Outcome::Completed(ANSWER));
    assert_eq!(finish.waiters, joined);
}

/// A client library takes one key for two bookings. Replaying the first answer would tell the second
/// client that its booking stands.
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
    let _ = table.finish(at(2), permit, outcome::Outcome::Completed(ANSWER));
    assert_eq!(reason(&table.begin(at(3), &other_body)), expected);
}

/// The home was killed and restarted, with its memory gone, and the client tries again. Running the
/// key would run it twice if the first start had dispatched it.
#[test]
fn homes_that_are_not_here_are_forwarded_or_unknown() {
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

/// A try comes back after the outcome was dropped. Taken for a new key it would run again, and *not
/// run* would be untrue.
#[test]
fn a_key_is_unknown_after_its_window() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
    let _ = table.finish(at(10), permit, outcome::Outcome::Completed(ANSWER));
    assert!(table.expire(at(700_000)).is_empty());
    assert!(table.is_empty());
    let late = table.begin(at(700_000), &attempt("k", "a/1", 2));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::KeyExpired));
    table.renew(ids::Incarnation::new(2));
    let later = table.begin(at(700_001), &attempt("k", "a/1", 3));
    assert_eq!(reason(&later), Some(refusal::RefusalReason::KeyExpired));
    drop(dispatch(&mut table, 700_002, &attempt("l", "a/2", 1)));
}

/// The clock of the process steps back by minutes. Outcomes must neither vanish early nor be kept as
/// if time stood still.
#[test]
fn a_step_back_of_the_clock_changes_nothing() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 500_000, &attempt("k", "a/1", 1));
    let _ = table.finish(at(5), permit, outcome::Outcome::Completed(ANSWER));
    let _ = table.expire(at(0));
    let _ = table.expire(at(600_010));
    assert_eq!(table.len(), 1);
    let _ = table.expire(at(1_100_000));
    assert!(table.is_empty());
}

/// A flood of new keys fills the table. Those that have run must stay protected, and the new ones are
/// told truly that they did not run.
#[test]
fn a_full_table_refuses_new_keys_and_keeps_the_others() {
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
        let _ = table.finish(at(2), permit, outcome::Outcome::Completed(ANSWER));
        let repeat = table.begin(at(3), &attempt("k", "a/1", 2));
        assert!(matches!(
            repeat,
            home::BeginDecision::Answer(outcome::Outcome::Completed(ANSWER))
        ));
    }
}

/// A first try lies unread in the socket of a paused instance. The second is answered with *not run*,
/// the client gives up, and the pause ends: the first try must not run any more.
#[test]
fn a_late_try_does_not_run_after_a_later_one_was_refused() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 2));
    let (permit, refused) = not_run(permit);
    let _ = table.finish(at(1), permit, refused);
    let late = table.begin(at(2), &attempt("k", "a/1", 1));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::TrySuperseded));
    drop(dispatch(&mut table, 3, &attempt("k", "a/1", 3)));
}

/// A backend server never answers, and the entry is paused past every time-out. The client is told
/// *unknown*; when the outcome arrives after all, the next try hears it.
#[test]
fn an_outcome_that_comes_late_replaces_unknown() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
    assert!(matches!(
        table.begin(at(1), &attempt("k", "a/1", 2)),
        home::BeginDecision::Join(_)
    ));
    let given_up = table.expire(at(60_000));
    assert_eq!(given_up.len(), 1);
    assert_eq!(given_up[0].waiters.len(), 1);
    let unknown = table.begin(at(60_001), &attempt("k", "a/1", 3));
    assert_eq!(reason(&unknown), Some(refusal::RefusalReason::OutcomeLost));
    let _ = table.finish(at(60_002), permit, outcome::Outcome::Completed(ANSWER));
    let known = table.begin(at(60_003), &attempt("k", "a/1", 4));
    assert!(matches!(
        known,
        home::BeginDecision::Answer(outcome::Outcome::Completed(ANSWER))
    ));
}

/// Two bodies race for one key. The one that was refused for it must not run later by an older try,
/// when the other gave the key back.
#[test]
fn a_refused_body_does_not_run_after_the_other_gave_the_key_back() {
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

/// An instance takes a new incarnation for its keys while clients hold look-up answers that name the one
/// before. Their new bookings run all the same for a while; what ran before never runs again.
#[test]
fn an_incarnation_takes_new_keys_for_a_while_after_its_renewal() {
    let mut table = table("a/1");
    let permit = dispatch(&mut table, 0, &attempt("old", "a/1", 1));
    let _ = table.finish(at(10), permit, outcome::Outcome::Completed(ANSWER));
    assert!(table.expire(at(700_000)).is_empty());
    table.renew(ids::Incarnation::new(2));
    drop(dispatch(&mut table, 710_000, &attempt("new", "a/1", 1)));
    let again = table.begin(at(710_001), &attempt("old", "a/1", 2));
    assert_eq!(reason(&again), Some(refusal::RefusalReason::KeyExpired));
    let _ = table.expire(at(731_000));
    let late = table.begin(at(731_000), &attempt("late", "a/1", 1));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::KeyExpired));
}

/// A table is worn out and refuses a first try; then it is renewed, and that try comes late. Run now, it
/// would make the refusal untrue.
#[test]
fn a_worn_out_incarnation_takes_nothing_after_its_renewal() {
    let settings = home::HomeSettings {
        max_tombstones: 1,
        ..Default::default()
    };
    let mut table = Table::new(home_of("a/1"), settings);
    let permit = dispatch(&mut table, 0, &attempt("k", "a/1", 1));
    let _ = table.finish(at(10), permit, outcome::Outcome::Completed(ANSWER));
    let refused = table.begin(at(20), &attempt("l", "a/1", 2));
    assert_eq!(reason(&refused), Some(refusal::RefusalReason::KeyTableFull));
    let _ = table.expire(at(700_000));
    table.renew(ids::Incarnation::new(2));
    let late = table.begin(at(700_001), &attempt("l", "a/1", 1));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::KeyExpired));
    drop(dispatch(&mut table, 700_002, &attempt("m", "a/2", 1)));
}
