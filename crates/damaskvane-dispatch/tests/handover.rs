//! The handover of a leaving instance's keys to its successor.

mod support;

use damaskvane_core::time;
use damaskvane_dispatch::{home, outcome, refusal};

use support::keys::{ANSWER, Table, at, attempt, dispatch, home_of, not_run, reason, table};

fn hand_over(old: &mut Table, new: &mut Table, now_ms: u64) -> Vec<home::HandoverPart<u64>> {
    let successor = new.home().clone();
    let parts = old
        .hand_over(at(now_ms), &successor)
        .expect("a handover")
        .to_vec();
    for part in &parts {
        new.accept_handover(at(now_ms), part.clone())
            .expect("accepted");
    }
    parts
}

fn amend(old: &mut Table, new: &mut Table, now_ms: u64) -> Vec<home::FinishedKey<u64>> {
    let amendments = old.take_amendments();
    amendments
        .into_iter()
        .filter_map(|amendment| new.accept_amendment(at(now_ms), amendment))
        .collect()
}

fn is_replay(begin: &home::BeginDecision<u64>) -> bool {
    matches!(begin, home::BeginDecision::Answer(outcome::Outcome::Completed(answer)) if *answer == ANSWER)
}

/// An entry instance is restarted as planned between a booking and its repeat. The successor gives the
/// same answer, and runs keys that the departed instance has never seen.
#[test]
fn a_successor_answers_for_the_departed_home() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let permit = dispatch(&mut old, 0, &attempt("k", "a/1", 1));
    let _ = old.finish(at(1), permit, outcome::Outcome::Completed(ANSWER));
    let _ = hand_over(&mut old, &mut new, 2);
    assert!(is_replay(&new.begin(at(3), &attempt("k", "a/1", 2))));
    drop(dispatch(&mut new, 3, &attempt("l", "a/1", 1)));
    let forwarded = old.begin(at(3), &attempt("m", "a/1", 1));
    assert!(matches!(forwarded, home::BeginDecision::Forward(home) if home == home_of("b/1")));
}

/// The drain of an instance races a dispatch: the key is at a backend server while the table is handed
/// over. The successor lets the client wait, and never runs the key itself.
#[test]
fn a_key_that_runs_during_the_handover_is_awaited() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let permit = dispatch(&mut old, 0, &attempt("k", "a/1", 1));
    let _ = hand_over(&mut old, &mut new, 2);
    let home::BeginDecision::Join(waiter) = new.begin(at(3), &attempt("k", "a/1", 2)) else {
        panic!("the key runs at the predecessor");
    };
    let _ = old.finish(at(4), permit, outcome::Outcome::Completed(ANSWER));
    let finished = amend(&mut old, &mut new, 5);
    assert_eq!(finished.len(), 1);
    assert_eq!(finished[0].waiters, [waiter]);
    assert!(is_replay(&new.begin(at(6), &attempt("k", "a/1", 3))));
}

/// The predecessor refuses a queued key after the handover, and gives it back. Only then may the
/// successor run it; when the same news arrives twice, the second must not free the key again.
#[test]
fn a_key_given_back_runs_once_at_the_successor() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let permit = dispatch(&mut old, 0, &attempt("k", "a/1", 1));
    let parts = hand_over(&mut old, &mut new, 2);
    let (permit, refused) = not_run(permit);
    let _ = old.finish(at(3), permit, refused);
    let news = old.take_amendments();
    for amendment in news.clone() {
        assert!(new.accept_amendment(at(4), amendment).is_some());
    }
    for part in parts {
        new.accept_handover(at(4), part).expect("ignored");
    }
    let late = new.begin(at(5), &attempt("k", "a/1", 1));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::TrySuperseded));
    drop(dispatch(&mut new, 6, &attempt("k", "a/1", 2)));
    for amendment in news {
        assert!(new.accept_amendment(at(7), amendment).is_none());
    }
    let joined = new.begin(at(8), &attempt("k", "a/1", 3));
    assert!(matches!(joined, home::BeginDecision::Join(_)), "{joined:?}");
}

/// The leaving instance is killed in the middle of its handover. A key that is in no part so far may
/// have run, so it is *unknown*.
#[test]
fn a_handover_that_is_not_whole_dispatches_nothing() {
    let settings = home::HomeSettings {
        handover_records: 1,
        ..Default::default()
    };
    let mut old = Table::new(home_of("a/1"), settings);
    let mut new = table("b/1");
    for key in ["k", "l"] {
        let permit = dispatch(&mut old, 0, &attempt(key, "a/1", 1));
        let _ = old.finish(at(1), permit, outcome::Outcome::Completed(ANSWER));
    }
    let parts = old
        .hand_over(at(2), &home_of("b/1"))
        .expect("a handover")
        .to_vec();
    assert_eq!(parts.len(), 2);
    new.accept_handover(at(3), parts[0].clone()).expect("room");
    let unknown = new.begin(at(4), &attempt("l", "a/1", 2));
    assert_eq!(
        reason(&unknown),
        Some(refusal::RefusalReason::HomeUnreachable)
    );
    new.accept_handover(at(5), parts[1].clone()).expect("room");
    assert!(is_replay(&new.begin(at(6), &attempt("l", "a/1", 2))));
}

/// The acknowledgement of a handover is lost, and a hasty instance picks another successor. Two
/// successors would both run the client's next key.
#[test]
fn a_table_has_one_successor() {
    let mut old = table("a/1");
    old.hand_over(at(0), &home_of("b/1")).expect("a handover");
    assert!(old.hand_over(at(1), &home_of("b/1")).is_ok());
    let second = old.hand_over(at(1), &home_of("c/1"));
    assert!(
        matches!(second, Err(home::HandoverError::OtherSuccessor { .. })),
        "{second:?}"
    );
    let part = old.hand_over(at(1), &home_of("b/1")).expect("parts")[0].clone();
    let other = table("b/2").accept_handover(at(2), part);
    assert!(matches!(
        other,
        Err(home::HandoverError::OtherIncarnation { .. })
    ));
}

/// A part of a handover lies in the socket of a paused successor until long after the window, and
/// arrives again. It must not open the departed home anew: a key that ran since would run twice.
#[test]
fn a_handover_that_arrives_again_after_the_window_opens_nothing() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let parts = hand_over(&mut old, &mut new, 0);
    let permit = dispatch(&mut new, 1, &attempt("k", "a/1", 1));
    let _ = new.finish(at(2), permit, outcome::Outcome::Completed(ANSWER));
    for now_ms in [599_000, 700_000, 1_400_000] {
        let _ = new.expire(at(now_ms));
    }
    for part in parts {
        new.accept_handover(at(1_400_001), part).expect("ignored");
    }
    let late = new.begin(at(1_400_002), &attempt("k", "a/1", 2));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::KeyExpired));
}

/// Every entry instance is restarted in turn, and the successor of the first leaves as well before the
/// client asks again. The answer is still the same, whichever instance the client asks.
#[test]
fn a_chain_of_planned_restarts_loses_no_answer() {
    let (mut first, mut second, mut third) = (table("a/1"), table("b/1"), table("c/1"));
    let permit = dispatch(&mut first, 0, &attempt("k", "a/1", 1));
    let _ = first.finish(at(1), permit, outcome::Outcome::Completed(ANSWER));
    let _ = hand_over(&mut first, &mut second, 2);
    let permit = dispatch(&mut second, 3, &attempt("l", "a/1", 1));
    let _ = second.finish(at(4), permit, outcome::Outcome::Completed(ANSWER));
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

/// The departed instance is back under its old address, and a client of its predecessor comes to it. It
/// was not there when the successor was announced, and learns it from any instance that was.
#[test]
fn a_restarted_instance_learns_who_holds_its_predecessors_keys() {
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

/// A key is older than the window when its home leaves. The successor has to know that it was taken.
#[test]
fn expired_keys_stay_unknown_at_the_successor() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let permit = dispatch(&mut old, 0, &attempt("k", "a/1", 1));
    let _ = old.finish(at(1), permit, outcome::Outcome::Completed(ANSWER));
    let _ = old.expire(at(700_000));
    let _ = hand_over(&mut old, &mut new, 700_001);
    let late = new.begin(at(700_002), &attempt("k", "a/1", 2));
    assert_eq!(reason(&late), Some(refusal::RefusalReason::KeyExpired));
}

/// The outcome of the predecessor never comes, since it was killed after the handover. The successor
/// gives the key up as *unknown*.
#[test]
fn an_awaited_outcome_is_given_up_in_the_end() {
    let (mut old, mut new) = (table("a/1"), table("b/1"));
    let permit = dispatch(&mut old, 0, &attempt("k", "a/1", 1));
    let _ = hand_over(&mut old, &mut new, 2);
    drop((old, permit));
    assert_eq!(new.expire(at(2) + time::SpanMs::new(40_000)).len(), 1);
    let unknown = new.begin(at(40_010), &attempt("k", "a/1", 2));
    assert_eq!(reason(&unknown), Some(refusal::RefusalReason::OutcomeLost));
}
