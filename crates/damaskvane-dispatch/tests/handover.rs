//! Tests of the handover of a leaving instance's keys to its successor.
//!
//! A key is an idempotency key, by which a client names one request across its attempts. Its home is the
//! instance and incarnation (one start or renewal) that alone may run it. The successor is the home that
//! takes over the keys of a leaving home, its predecessor. An amendment reports to the successor the outcome
//! of a key that was in progress at the handover.

mod support;

use damaskvane_core::time;
use damaskvane_dispatch::{home, outcome, refusal};

use support::keys::{RESPONSE, Table, at, attempt, dispatch, home_of, not_run, reason, table};

fn hand_over(old: &mut Table, new: &mut Table, now_ms: u64) -> Vec<home::HandoverPart<u64>> {
    let successor = new.home().clone();
    let parts = old
        .hand_over(at(now_ms), &successor)
        .expect("handover is accepted")
        .to_vec();
    for part in &parts {
        new.accept_handover(at(now_ms), part.clone())
            .expect("handover part is accepted");
    }
    parts
}

fn deliver_amendments(
    old: &mut Table,
    new: &mut Table,
    now_ms: u64,
) -> Vec<home::FinishedKey<u64>> {
    let amendments = old.take_amendments();
    amendments
        .into_iter()
        .filter_map(|amendment| new.accept_amendment(at(now_ms), amendment))
        .collect()
}

fn is_replay(begin: &home::BeginDecision<u64>) -> bool {
    matches!(begin, home::BeginDecision::Answer(outcome::Outcome::Completed(response)) if *response == RESPONSE)
}

/// An entry instance has a planned restart between a booking and the client's repetition of the booking. The
/// successor must return the same outcome, and must run keys that the departed instance never received.
#[test]
fn a_successor_replays_outcomes_of_the_departed_home() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let permit = dispatch(&mut old, 0, &attempt("k", "a/1", 1));
    let _ = old.finish(at(1), permit, outcome::Outcome::Completed(RESPONSE));
    let _ = hand_over(&mut old, &mut new, 2);
    assert!(is_replay(&new.begin(at(3), &attempt("k", "a/1", 2))));
    drop(dispatch(&mut new, 3, &attempt("l", "a/1", 1)));
    let forwarded = old.begin(at(3), &attempt("m", "a/1", 1));
    assert!(matches!(forwarded, home::BeginDecision::Forward(home) if home == home_of("b/1")));
}

/// A backend server runs a key while the key table is handed over. The successor must let the client
/// wait for the outcome, and must not run the key itself.
#[test]
fn a_key_in_progress_during_the_handover_is_awaited() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let permit = dispatch(&mut old, 0, &attempt("k", "a/1", 1));
    let _ = hand_over(&mut old, &mut new, 2);
    let home::BeginDecision::Join(waiter) = new.begin(at(3), &attempt("k", "a/1", 2)) else {
        panic!("expected a join, because the key runs at the predecessor");
    };
    let _ = old.finish(at(4), permit, outcome::Outcome::Completed(RESPONSE));
    let finished = deliver_amendments(&mut old, &mut new, 5);
    assert_eq!(finished.len(), 1);
    assert_eq!(finished[0].waiters, [waiter]);
    assert!(is_replay(&new.begin(at(6), &attempt("k", "a/1", 3))));
}

/// After the handover, the predecessor refuses a queued key without running it and sends an amendment that
/// releases the key. Only then may the successor run the key. A duplicate of the amendment must not release
/// the key again.
#[test]
fn a_key_released_by_the_predecessor_runs_once_at_the_successor() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let permit = dispatch(&mut old, 0, &attempt("k", "a/1", 1));
    let parts = hand_over(&mut old, &mut new, 2);
    let (permit, refused) = not_run(permit);
    let _ = old.finish(at(3), permit, refused);
    let amendments = old.take_amendments();
    for amendment in amendments.clone() {
        assert!(new.accept_amendment(at(4), amendment).is_some());
    }
    for part in parts {
        new.accept_handover(at(4), part)
            .expect("handover part is ignored");
    }
    let late = new.begin(at(5), &attempt("k", "a/1", 1));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::TrySuperseded));
    drop(dispatch(&mut new, 6, &attempt("k", "a/1", 2)));
    for amendment in amendments {
        assert!(new.accept_amendment(at(7), amendment).is_none());
    }
    let joined = new.begin(at(8), &attempt("k", "a/1", 3));
    assert!(matches!(joined, home::BeginDecision::Join(_)), "{joined:?}");
}

/// The leaving instance is killed during its handover. A key that is in none of the parts that the successor
/// received may have run, so its outcome is *unknown*.
#[test]
fn an_incomplete_handover_dispatches_nothing() {
    let settings = home::HomeSettings {
        handover_records: 1,
        ..Default::default()
    };
    let mut old = Table::new(home_of("a/1"), settings);
    let mut new = table("b/1");
    for key in ["k", "l"] {
        let permit = dispatch(&mut old, 0, &attempt(key, "a/1", 1));
        let _ = old.finish(at(1), permit, outcome::Outcome::Completed(RESPONSE));
    }
    let parts = old
        .hand_over(at(2), &home_of("b/1"))
        .expect("handover is accepted")
        .to_vec();
    assert_eq!(parts.len(), 2);
    new.accept_handover(at(3), parts[0].clone())
        .expect("successor has capacity");
    let unknown = new.begin(at(4), &attempt("l", "a/1", 2));
    assert_eq!(
        reason(&unknown),
        Some(refusal::RefusalReason::HomeUnreachable)
    );
    new.accept_handover(at(5), parts[1].clone())
        .expect("successor has capacity");
    assert!(is_replay(&new.begin(at(6), &attempt("l", "a/1", 2))));
}

/// The acknowledgement of a handover is lost, and the leaving instance selects another successor. If both
/// instances became successors, both could run the client's next key.
#[test]
fn a_table_has_one_successor() {
    let mut old = table("a/1");
    old.hand_over(at(0), &home_of("b/1"))
        .expect("handover is accepted");
    assert!(old.hand_over(at(1), &home_of("b/1")).is_ok());
    let second = old.hand_over(at(1), &home_of("c/1"));
    assert!(
        matches!(second, Err(home::HandoverError::OtherSuccessor { .. })),
        "{second:?}"
    );
    let part = old
        .hand_over(at(1), &home_of("b/1"))
        .expect("handover returns its parts")[0]
        .clone();
    let other = table("b/2").accept_handover(at(2), part);
    assert!(matches!(
        other,
        Err(home::HandoverError::OtherIncarnation { .. })
    ));
}

/// A successor is paused and receives a part of a handover a second time, long after the retention window
/// (the time for which outcomes are retained). The part must not make the successor accept keys of the
/// departed home as new: a key that has run since the handover could run again.
#[test]
fn a_handover_repeated_after_the_window_is_ignored() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let parts = hand_over(&mut old, &mut new, 0);
    let permit = dispatch(&mut new, 1, &attempt("k", "a/1", 1));
    let _ = new.finish(at(2), permit, outcome::Outcome::Completed(RESPONSE));
    for now_ms in [599_000, 700_000, 1_400_000] {
        let _ = new.expire(at(now_ms));
    }
    for part in parts {
        new.accept_handover(at(1_400_001), part)
            .expect("handover part is ignored");
    }
    let late = new.begin(at(1_400_002), &attempt("k", "a/1", 2));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::KeyExpired));
}

/// All entry instances are restarted in turn, and the first instance's successor leaves before the
/// client repeats its request. The client must get the same outcome from every instance.
#[test]
fn a_chain_of_planned_restarts_loses_no_outcome() {
    let (mut first, mut second, mut third) = (table("a/1"), table("b/1"), table("c/1"));
    let permit = dispatch(&mut first, 0, &attempt("k", "a/1", 1));
    let _ = first.finish(at(1), permit, outcome::Outcome::Completed(RESPONSE));
    let _ = hand_over(&mut first, &mut second, 2);
    let permit = dispatch(&mut second, 3, &attempt("l", "a/1", 1));
    let _ = second.finish(at(4), permit, outcome::Outcome::Completed(RESPONSE));
    let _ = hand_over(&mut second, &mut third, 5);
    for key in ["k", "l"] {
        assert!(is_replay(&third.begin(at(6), &attempt(key, "a/1", 2))));
    }
    let mut restarted = table("a/2");
    restarted.record_successor(at(7), home_of("a/1"), home_of("b/1"));
    restarted.record_successor(at(7), home_of("b/1"), home_of("c/1"));
    let forwarded = restarted.begin(at(8), &attempt("k", "a/1", 2));
    assert!(matches!(forwarded, home::BeginDecision::Forward(home) if home == home_of("c/1")));
}

/// A restarted instance receives a repeated request whose key has the instance's previous incarnation as its
/// home. The instance was down when the successor was announced, and must learn the successor from any other
/// instance.
#[test]
fn a_restarted_instance_forwards_keys_of_its_predecessor() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let _ = hand_over(&mut old, &mut new, 0);
    let mut restarted = table("a/2");
    let lost = restarted.begin(at(1), &attempt("k", "a/1", 2));
    assert_eq!(reason(&lost), Some(refusal::RefusalReason::HomeRestarted));
    for (departed, successor) in new.successors() {
        restarted.record_successor(at(2), departed.clone(), successor.clone());
    }
    let forwarded = restarted.begin(at(3), &attempt("k", "a/1", 2));
    assert!(matches!(forwarded, home::BeginDecision::Forward(home) if home == home_of("b/1")));
}

/// The outcome of a key is removed after the retention window, and then the key's home leaves. The successor
/// must not run the key as a new one.
#[test]
fn expired_keys_stay_unknown_at_the_successor() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let permit = dispatch(&mut old, 0, &attempt("k", "a/1", 1));
    let _ = old.finish(at(1), permit, outcome::Outcome::Completed(RESPONSE));
    let _ = old.expire(at(700_000));
    let _ = hand_over(&mut old, &mut new, 700_001);
    let late = new.begin(at(700_002), &attempt("k", "a/1", 2));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::KeyExpired));
}

/// The predecessor is killed after the handover and never sends the outcome of a key in progress. The
/// successor must stop waiting after a timeout and answer *unknown* for the key.
#[test]
fn an_awaited_outcome_times_out_as_unknown() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let permit = dispatch(&mut old, 0, &attempt("k", "a/1", 1));
    let _ = hand_over(&mut old, &mut new, 2);
    drop((old, permit));
    assert_eq!(new.expire(at(2) + time::SpanMs::new(40_000)).len(), 1);
    let unknown = new.begin(at(40_010), &attempt("k", "a/1", 2));
    assert_eq!(reason(&unknown), Some(refusal::RefusalReason::OutcomeLost));
}
