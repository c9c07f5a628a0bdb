//! The checker finds each broken promise and nothing else.

use damaskvane_bench::checker;
use damaskvane_bench::client::{AnswerFault, Given, Outcome, Try};
use damaskvane_standins::backend;

fn execution(request_id: &str, key: &str, started_unix_ms: u64) -> backend::Execution {
    backend::Execution {
        server: "s-1".into(),
        request_id: request_id.into(),
        idempotency_key: key.into(),
        method: "POST".into(),
        started_unix_ms,
        finished_unix_ms: Some(started_unix_ms + 20),
        aborted: false,
    }
}

fn own_try(request_id: &str, outcome: Outcome, reason: &str, answered_unix_ms: u64) -> Try {
    Try {
        request_id: request_id.into(),
        instance: "i-1".into(),
        outcome,
        reason: reason.into(),
        answered_unix_ms,
    }
}

fn given(key: &str, outcome: Outcome, tries: Vec<Try>) -> Given {
    Given {
        service: "rider-desk".into(),
        name: "r".into(),
        idempotency_key: key.into(),
        outcome,
        reason: String::new(),
        status: 200,
        server: "s-1".into(),
        tries,
        fault: None,
        started_unix_ms: 0,
        latency_us: 1,
        body_bytes: 1,
    }
}

#[test]
fn one_run_and_one_whole_answer_hold() {
    let tries = vec![own_try("r-0", Outcome::Completed, "", 50)];
    let verdict = checker::check(
        &[execution("r-0", "k", 10)],
        &[given("k", Outcome::Completed, tries)],
    );
    assert!(verdict.holds(), "{verdict}");
}

/// A retry goes to a second backend server while the first still runs. A band is booked twice.
#[test]
fn a_key_that_ran_twice_is_found() {
    let executions = [execution("r-0", "k", 10), execution("r-1", "k", 40)];
    let verdict = checker::check(&executions, &[]);
    assert_eq!(verdict.ran_twice, ["k ran 2 times"]);
}

#[test]
fn a_repeatable_request_may_run_twice() {
    let executions = [execution("r-0", "", 10), execution("r-1", "", 40)];
    assert!(checker::check(&executions, &[]).holds());
}

/// An instance answers not-run for something that reached a backend server. Its client books again.
#[test]
fn a_not_run_that_ran_is_found() {
    let cases = [
        // (executions, tries, end, findings)
        (
            vec![execution("r-0", "", 10)],
            vec![own_try("r-0", Outcome::NotRun, "queue_full", 50)],
            "",
            1,
        ),
        (
            vec![execution("r-0", "k", 10)],
            vec![
                own_try("r-0", Outcome::Unknown, "client-timeout", 30),
                own_try("r-1", Outcome::NotRun, "queue_full", 50),
            ],
            "k",
            2,
        ),
        // The key runs only after the claim: the client tried again, as the answer allowed.
        (
            vec![execution("r-1", "k", 90)],
            vec![
                own_try("r-0", Outcome::NotRun, "queue_full", 50),
                own_try("r-1", Outcome::Completed, "", 120),
            ],
            "k",
            0,
        ),
        // A refused connection after a try that ran says nothing about that try.
        (
            vec![execution("r-0", "k", 10)],
            vec![
                own_try("r-0", Outcome::Unknown, "client-timeout", 30),
                own_try("r-1", Outcome::NotRun, "connect-refused", 50),
            ],
            "k",
            0,
        ),
    ];
    for (executions, tries, key, findings) in cases {
        let last = tries.last().map_or(Outcome::Unknown, |last| last.outcome);
        let end = if findings == 0 && last == Outcome::NotRun {
            Outcome::Unknown
        } else {
            last
        };
        let verdict = checker::check(&executions, &[given(key, end, tries)]);
        assert_eq!(verdict.false_not_run.len(), findings, "{verdict}");
    }
}

/// Two answers change places on the way. A steward reads another band's allergies.
#[test]
fn a_crossed_answer_is_found() {
    let tries = vec![own_try("r-0", Outcome::Completed, "", 50)];
    let mut one = given("", Outcome::Completed, tries);
    one.fault = Some(AnswerFault::CrossedBody);
    let verdict = checker::check(&[execution("r-0", "", 10)], &[one]);
    assert_eq!(verdict.wrong_answers.len(), 1);
}

#[test]
fn a_completed_request_that_nothing_ran_is_found() {
    let tries = vec![own_try("r-0", Outcome::Completed, "", 50)];
    let verdict = checker::check(&[], &[given("k", Outcome::Completed, tries)]);
    assert_eq!(verdict.never_ran, ["r"]);
}
