//! The life cycle of one request, and its retries.

use damaskvane_core::time;
use damaskvane_dispatch::{deadline, exchange, home, outcome, refusal, retry};
use rand::SeedableRng;

mod support;

use support::keys::{at, attempt, dispatch, table};

fn deadline_in(ms: u64) -> deadline::Deadline {
    deadline::Deadline::after(at(0), time::SpanMs::new(ms))
}

fn request(name: &str) -> damaskvane_core::ids::RequestId {
    name.parse().expect("a request")
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
        .send(at(1), "desk-1".parse().expect("a server"))
}

fn answer(name: &str, received_bytes: u64) -> exchange::BackendResponse<u64> {
    exchange::BackendResponse {
        request: request(name),
        declared_bytes: 8,
        received_bytes,
        response: 7,
    }
}

/// A backend server is killed at each phase of an exchange. Whatever the phase, a non-repeatable
/// request is tried again only if it has not run, and is never said not to have run if it may have.
#[test]
fn each_failure_leads_to_a_true_answer() {
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
        let word = if reason.proves_not_run() {
            "not-run"
        } else {
            "unknown"
        };
        let answered = admitted.refuse::<u64>(refusal::RefusalReason::Overloaded);
        assert_eq!(answered.outcome().as_str(), word, "{reason}");
    }
}

/// A request that may have run on one backend server is refused by the next one before running. The
/// second server's word says nothing about the first.
#[test]
fn a_refusal_after_a_lost_try_is_no_proof() {
    let exchange::Progress::Retry { admitted, .. } =
        send(repeatable()).failed::<u64>(retry::RetryReason::ConnectionLost)
    else {
        panic!("repeatable");
    };
    let sent = admitted.send(at(2), "desk-2".parse().expect("a server"));
    let exchange::Progress::Retry { admitted, .. } =
        sent.failed::<u64>(retry::RetryReason::BackendRefused)
    else {
        panic!("repeatable");
    };
    assert_eq!(admitted.tried().len(), 2);
    let answered = admitted.refuse::<u64>(refusal::RefusalReason::BackendRefused);
    assert_eq!(answered.outcome().as_str(), "unknown");
}

/// An answer that belongs to an abandoned exchange is read as the next one's, or the connection is cut
/// within an answer. A client would see a stranger's booking, or half a list of allergies.
#[test]
fn crossed_and_cut_answers_are_not_passed_on() {
    let cases = [
        ("mine", 8, None),
        ("mine", 5, Some(retry::RetryReason::AnswerCut)),
        ("theirs", 8, Some(retry::RetryReason::AnswerCrossed)),
    ];
    for (name, received_bytes, expected) in cases {
        let progress = send(repeatable()).answered(answer(name, received_bytes));
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

/// A backend server sheds everything, and each entry instance tries again. Without a budget the load
/// doubles just when the server can't bear it.
#[test]
fn retries_stay_under_their_budget() {
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
fn retries_end_with_servers_tries_and_time() {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(4);
    let mut policy = retry::RetryPolicy::new(retry::RetrySettings::default());
    let mut admitted = repeatable().admit();
    let stops = |decision, expected| assert_eq!(decision, retry::RetryDecision::Stop(expected));
    let decision = policy.decide(at(0), &admitted, 0, &mut rng);
    stops(decision, retry::RetryStop::NoOtherServer);
    let decision = policy.decide(at(1_990), &admitted, 1, &mut rng);
    stops(decision, retry::RetryStop::DeadlineTooShort);
    for server in ["desk-1", "desk-2", "desk-3"] {
        let sent = admitted.send(at(0), server.parse().expect("a server"));
        admitted = match sent.failed::<u64>(retry::RetryReason::ConnectFailed) {
            exchange::Progress::Retry { admitted, .. } => admitted,
            exchange::Progress::Answered(answered) => panic!("{answered:?}"),
        };
    }
    let decision = policy.decide(at(0), &admitted, 1, &mut rng);
    stops(decision, retry::RetryStop::TriesUsed);
}
