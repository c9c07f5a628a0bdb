//! Tests of the quarantine of requests that crash backend servers, and of requests that run beside them.
//!
//! An incident is one crash of a backend server; a suspect is a request that was in flight on the server
//! then. A quarantined request is refused.

mod support;

use damaskvane_core::time;
use damaskvane_dispatch::quarantine;

use support::keys::{at, fingerprint_of, home_of};

fn new_quarantine() -> quarantine::Quarantine {
    quarantine::Quarantine::new(quarantine::QuarantineSettings::default())
}

fn incident(serial: u64, reporter: &str, server: &str, bodies: &[&str]) -> quarantine::Incident {
    quarantine::Incident {
        id: quarantine::IncidentId {
            reporter: home_of(reporter),
            serial,
        },
        server: server.parse().expect("valid server id"),
        suspects: bodies.iter().map(|body| fingerprint_of(body)).collect(),
        age: time::SpanMs::ZERO,
    }
}

fn is_refused(quarantine: &mut quarantine::Quarantine, now_ms: u64, body: &str) -> bool {
    let decision = quarantine.decide(at(now_ms), fingerprint_of(body));
    quarantine.release(fingerprint_of(body));
    matches!(decision, quarantine::QuarantineDecision::Refuse { .. })
}

/// A request crashes each backend server that runs it, and its client repeats it in another zone of the
/// region. After the second crash, every instance that received both incidents must refuse the request.
#[test]
fn a_request_is_refused_after_two_incidents_in_the_region() {
    let mut quarantine = new_quarantine();
    quarantine.record_incident(at(0), &incident(1, "a/1", "desk-1", &["bad"]));
    assert!(!is_refused(&mut quarantine, 1, "bad"));
    quarantine.record_incident(at(2), &incident(1, "b/1", "desk-2", &["bad"]));
    assert!(is_refused(&mut quarantine, 3, "bad"));
    assert!(!is_refused(&mut quarantine, 600_002, "bad"));
}

/// Reports of one incident arrive twice, or from each instance with a connection to the crashed server. If
/// each report counted, one crash would quarantine every request that was running on the server.
#[test]
fn one_crash_counts_once() {
    let mut quarantine = new_quarantine();
    for serial in [1, 1, 2] {
        quarantine.record_incident(at(0), &incident(serial, "a/1", "desk-1", &["bad"]));
    }
    quarantine.record_incident(at(1), &incident(1, "b/1", "desk-1", &["bad"]));
    assert!(!is_refused(&mut quarantine, 2, "bad"));
    let long_after = quarantine::Incident {
        age: time::SpanMs::new(9_000),
        ..incident(1, "a/1", "desk-1", &["bad"])
    };
    quarantine.record_incident(at(20_000), &long_after);
    assert!(!is_refused(&mut quarantine, 20_001, "bad"));
}

/// The service has one backend server, and the request crashes the server again after each restart. Each
/// crash must count as an incident of its own.
#[test]
fn two_crashes_of_one_server_count_twice() {
    let mut quarantine = new_quarantine();
    quarantine.record_incident(at(0), &incident(1, "a/1", "desk-1", &["bad"]));
    quarantine.record_incident(at(5_000), &incident(2, "a/1", "desk-1", &["bad"]));
    assert!(is_refused(&mut quarantine, 5_001, "bad"));
}

/// A harmless request runs on the same server as a request that crashes the server. When the harmless request is
/// sent again, the quarantine must let it run while no other suspect runs on this instance, and once it has completed,
/// the quarantine must let it run without restriction. The crashing request must be refused after a second crash.
#[test]
fn harmless_requests_on_a_crashed_server_are_not_refused() {
    let mut quarantine = new_quarantine();
    let shared = incident(1, "a/1", "desk-1", &["bad", "good"]);
    quarantine.record_incident(at(0), &shared);
    let good = fingerprint_of("good");
    let bad = fingerprint_of("bad");
    assert_eq!(
        quarantine.decide(at(1), good),
        quarantine::QuarantineDecision::RunAlone
    );
    assert_eq!(
        quarantine.decide(at(1), bad),
        quarantine::QuarantineDecision::Wait
    );
    assert!(quarantine.record_completed(at(2), good));
    assert_eq!(
        quarantine.decide(at(3), bad),
        quarantine::QuarantineDecision::RunAlone
    );
    assert_eq!(
        quarantine.decide(at(3), good),
        quarantine::QuarantineDecision::Run
    );
    quarantine.record_incident(at(4), &incident(2, "a/1", "desk-2", &["bad"]));
    assert!(is_refused(&mut quarantine, 5, "bad"));
    // A peer repeats the report of the first incident, which is older than the completed run.
    let late = quarantine::Incident {
        age: time::SpanMs::new(6),
        ..shared
    };
    quarantine.record_incident(at(6), &late);
    assert_eq!(
        quarantine.decide(at(7), good),
        quarantine::QuarantineDecision::Run
    );
}

/// Operators repair the backend server and clear the quarantined request, which may then run again.
#[test]
fn operators_list_and_clear_quarantined_requests() {
    let mut quarantine = new_quarantine();
    for (serial, server) in [(1, "desk-1"), (2, "desk-2")] {
        quarantine.record_incident(at(0), &incident(serial, "a/1", server, &["bad"]));
    }
    let listed = quarantine.list(at(0));
    assert_eq!(listed.len(), 1);
    assert!(listed[0].is_refused);
    assert!(quarantine.clear(at(1), listed[0].fingerprint));
    assert!(!is_refused(&mut quarantine, 2, "bad"));
    assert!(quarantine.list(at(2)).is_empty());
}

/// A connection breaks while its server keeps running: the server closed an idle connection, or a response
/// was lost. If that counted as a crash, harmless requests would be refused when connections break often.
#[test]
fn a_broken_exchange_makes_a_suspect_only_if_its_server_crash_is_detected_soon() {
    let mut broken = quarantine::BrokenExchanges::default();
    let server = "desk-1".parse().expect("valid server id");
    broken.record(at(0), &server, fingerprint_of("long ago"));
    broken.record(at(5_000), &server, fingerprint_of("bad"));
    broken.record(at(5_001), &server, fingerprint_of("bad"));
    let other = "desk-2".parse().expect("valid server id");
    assert!(broken.take_suspects(at(5_100), &other).is_empty());
    assert_eq!(
        broken.take_suspects(at(5_100), &server),
        [fingerprint_of("bad")]
    );
    assert!(broken.take_suspects(at(5_200), &server).is_empty());
    broken.record(at(6_000), &server, fingerprint_of("bad"));
    broken.expire(at(7_000));
    assert!(!broken.is_empty());
    broken.expire(at(9_000));
    assert!(broken.is_empty());
}

/// Servers fall silent with requests on them, and the proof comes when they are started again seconds later. Meanwhile
/// the exchanges must delay no request: a machine that is cut off sees all its servers silent.
#[test]
fn an_exchange_with_a_silent_server_waits_long_for_the_proof_and_delays_nothing() {
    let mut broken = quarantine::BrokenExchanges::default();
    let (unanswered, unprobed) = ("desk-1", "desk-2");
    let [unanswered, unprobed] = [unanswered, unprobed].map(|id| id.parse().expect("a server id"));
    broken.record_unanswered(at(0), &unanswered, fingerprint_of("bad"));
    broken.record(at(0), &unprobed, fingerprint_of("bad"));
    broken.record_silence(&unprobed);
    let is_bad = |one: &_| *one == fingerprint_of("bad");
    assert_eq!(broken.unconfirmed_count(at(1), is_bad), 0);
    broken.expire(at(9_000));
    for server in [unanswered, unprobed] {
        assert_eq!(broken.first_broken_at(at(9_000), &server), Some(at(0)));
        let suspects = broken.take_suspects(at(9_000), &server);
        assert_eq!(suspects, [fingerprint_of("bad")]);
    }
}

/// A connection breaks under a harmless request, which then completes on another server. When the first server is found
/// crashed later, the request must not be suspected.
#[test]
fn a_request_that_completes_withdraws_its_own_evidence() {
    let mut broken = quarantine::BrokenExchanges::default();
    let server = "desk-1".parse().expect("a server id");
    broken.record(at(0), &server, fingerprint_of("good"));
    broken.record(at(0), &server, fingerprint_of("bad"));
    broken.record_completed(fingerprint_of("good"));
    assert_eq!(
        broken.take_suspects(at(10), &server),
        [fingerprint_of("bad")]
    );
}

/// All instances are killed at once, and a client repeats a request that crashed two servers. The restarted
/// instances have no incidents; the record of the quarantine in the store must keep the request from a third
/// server.
#[test]
fn a_request_recorded_by_another_instance_is_refused_without_an_incident() {
    let mut quarantine = new_quarantine();
    assert!(quarantine.apply_quarantine_record(at(0), fingerprint_of("bad")));
    assert!(!quarantine.apply_quarantine_record(at(1), fingerprint_of("bad")));
    assert!(
        quarantine
            .refused_for(at(2), fingerprint_of("bad"))
            .is_some()
    );
    assert!(
        quarantine
            .refused_for(at(600_001), fingerprint_of("bad"))
            .is_none()
    );
    assert!(
        quarantine
            .refused_for(at(2), fingerprint_of("good"))
            .is_none()
    );
}

/// Every instance that receives a request's second incident records the quarantine for all other instances,
/// and must do so only once, because each record is a call to the store.
#[test]
fn a_request_is_reported_for_refusal_once() {
    let mut quarantine = new_quarantine();
    let first = incident(1, "a/1", "desk-1", &["bad", "beside it"]);
    assert!(quarantine.record_incident(at(0), &first).is_empty());
    let second = incident(2, "a/1", "desk-2", &["bad"]);
    assert_eq!(
        quarantine.record_incident(at(9), &second),
        [fingerprint_of("bad")]
    );
    let third = incident(3, "a/1", "desk-3", &["bad"]);
    assert!(quarantine.record_incident(at(18), &third).is_empty());
}
