//! Tests of the life cycle of one request and of the retry policy.
//!
//! An exchange is the sending of a request to a backend server and the receiving of the response.

use damaskvane_core::time;
use damaskvane_dispatch::{deadline, exchange, home, outcome, refusal, retry};
use rand::SeedableRng;

mod support;

use support::keys::{at, attempt, dispatch, table};

fn deadline_in(ms: u64) -> deadline::Deadline {
    deadline::Deadline::after(at(0), time::SpanMs::new(ms))
}

fn request(name: &str) -> damaskvane_core::ids::RequestId {
    name.parse().expect("valid request id")
}

fn repeatable() -> exchange::Received {
    exchange::Received::repeatable(request("mine"), deadline_in(2_000))
}

fn keyed() -> exchange::Received {
    let permit: home::DispatchPermit = dispatch(&mut table("a/1"), 0, &attempt("k", "a/1", 1));
    exchange::Received::keyed(request("mine"), deadline_in(2_000), permit)
}

fn send(received: exchange::Received) -> exchange::Sent {
    received
        .admit()
        .send(at(1), "desk-1".parse().expect("valid server id"))
}

fn response(name: &str, received_bytes: u64) -> exchange::BackendResponse<u64> {
    exchange::BackendResponse {
        request: request(name),
        declared_bytes: 8,
        received_bytes,
        response: 7,
    }
}

/// An exchange fails for each possible reason, before or after the backend server may have run the request. A
/// non-repeatable request must be retried only if the reason proves that it has not run, and the outcome must
/// not be *not run* if the request may have run.
#[test]
fn each_failure_leads_to_a_correct_outcome() {
    for reason in retry::RetryReason::ALL {
        match send(keyed()).failed::<u64>(reason) {
            exchange::Progress::Retry { admitted, .. } => {
                assert!(reason.proves_not_run(), "{reason}");
                let answered = admitted.refuse::<u64>(refusal::RefusalReason::BackendRefused);
                assert_eq!(answered.outcome().as_str(), "not-run", "{reason}");
            }
            exchange::Progress::Answered(answered) => {
                assert!(!reason.proves_not_run(), "{reason}");
                assert_eq!(answered.outcome().as_str(), "unknown", "{reason}");
            }
        }
        let exchange::Progress::Retry { admitted, .. } = send(repeatable()).failed::<u64>(reason)
        else {
            panic!("a repeatable request may be retried after {reason}");
        };
        let label = if reason.proves_not_run() {
            "not-run"
        } else {
            "unknown"
        };
        let answered = admitted.refuse::<u64>(refusal::RefusalReason::Overloaded);
        assert_eq!(answered.outcome().as_str(), label, "{reason}");
    }
}

/// A request may have run on a first backend server, and a second server refuses it before running. The
/// refusal of the second server does not prove that the first one did not run the request.
#[test]
fn a_refusal_after_a_lost_attempt_does_not_prove_not_run() {
    let exchange::Progress::Retry { admitted, .. } =
        send(repeatable()).failed::<u64>(retry::RetryReason::ConnectionLost)
    else {
        panic!("expected a retry of a repeatable request");
    };
    let sent = admitted.send(at(2), "desk-2".parse().expect("valid server id"));
    let exchange::Progress::Retry { admitted, .. } =
        sent.failed::<u64>(retry::RetryReason::BackendRefused)
    else {
        panic!("expected a retry of a repeatable request");
    };
    assert_eq!(admitted.tried().len(), 2);
    let answered = admitted.refuse::<u64>(refusal::RefusalReason::BackendRefused);
    assert_eq!(answered.outcome().as_str(), "unknown");
}

/// The response to an abandoned request is read as the response to the next request on the connection, or a
/// connection is closed in the middle of a response. A client would receive another client's booking or a
/// truncated list.
#[test]
fn mismatched_and_truncated_responses_are_not_forwarded() {
    let cases = [
        ("mine", 8, None),
        ("mine", 5, Some(retry::RetryReason::AnswerCut)),
        ("theirs", 8, Some(retry::RetryReason::AnswerCrossed)),
    ];
    for (name, received_bytes, expected) in cases {
        let progress = send(repeatable()).answered(response(name, received_bytes));
        match (progress, expected) {
            (exchange::Progress::Answered(answered), None) => {
                assert_eq!(answered.outcome(), &outcome::Outcome::Completed(7));
            }
            (exchange::Progress::Retry { reason, .. }, Some(expected)) => {
                assert_eq!(reason, expected);
            }
            (progress, _) => panic!("{name} {received_bytes}: {progress:?}"),
        }
    }
    let crossed = exchange::Forwarded::new(request("mine"));
    let answered = crossed.answered(&request("theirs"), outcome::Outcome::Completed(7));
    assert_eq!(answered.outcome().as_str(), "unknown");
}

/// A backend server sheds all requests, and each entry instance retries them. Without a retry budget, which
/// limits retries to a part of the first attempts, the load of an overloaded server would double.
#[test]
fn retries_stay_within_their_budget() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(4);
    let mut policy = retry::RetryPolicy::new(retry::RetrySettings::default());
    let admitted = repeatable().admit();
    let mut retries = 0;
    for _ in 0..10_000 {
        policy.record_first_try();
        let decision = policy.decide(at(0), &admitted, 2, &mut rng);
        retries += u32::from(matches!(decision, retry::RetryDecision::Retry { .. }));
    }
    assert!((700..=810).contains(&retries), "{retries}");
}

#[test]
fn retries_stop_when_servers_attempts_or_time_run_out() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(4);
    let mut policy = retry::RetryPolicy::new(retry::RetrySettings::default());
    let mut admitted = repeatable().admit();
    let assert_stop =
        |decision, expected| assert_eq!(decision, retry::RetryDecision::Stop(expected));
    let decision = policy.decide(at(0), &admitted, 0, &mut rng);
    assert_stop(decision, retry::RetryStop::NoOtherServer);
    let decision = policy.decide(at(1_990), &admitted, 1, &mut rng);
    assert_stop(decision, retry::RetryStop::DeadlineTooShort);
    for server in ["desk-1", "desk-2", "desk-3"] {
        let sent = admitted.send(at(0), server.parse().expect("valid server id"));
        admitted = match sent.failed::<u64>(retry::RetryReason::ConnectFailed) {
            exchange::Progress::Retry { admitted, .. } => admitted,
            exchange::Progress::Answered(answered) => panic!("{answered:?}"),
        };
    }
    let decision = policy.decide(at(0), &admitted, 1, &mut rng);
    assert_stop(decision, retry::RetryStop::TriesUsed);
}
