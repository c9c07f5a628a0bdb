//! Requests that crash what runs them, and those that were beside them.

mod support;

use damaskvane_core::time;
use damaskvane_dispatch::quarantine;

use support::keys::{at, fingerprint_of, home_of};

fn list() -> quarantine::Quarantine {
    quarantine::Quarantine::new(quarantine::QuarantineSettings::default())
}

fn incident(serial: u64, reporter: &str, server: &str, bodies: &[&str]) -> quarantine::Incident {
    quarantine::Incident {
        id: quarantine::IncidentId {
            reporter: home_of(reporter),
            serial,
        },
        server: server.parse().expect("a server"),
        suspects: bodies.iter().map(|body| fingerprint_of(body)).collect(),
        age: time::SpanMs::ZERO,
    }
}

fn is_refused(list: &mut quarantine::Quarantine, now_ms: u64, body: &str) -> bool {
    let verdict = list.decide(at(now_ms), fingerprint_of(body));
    list.release(fingerprint_of(body));
    matches!(verdict, quarantine::QuarantineDecision::Refuse { .. })
}

/// One request crashes each backend server that runs it, and its caller sends it again to another zone
/// of the region. After the second crash every instance that heard of both refuses it.
#[test]
fn a_request_is_refused_after_two_incidents_in_the_region() {
    let mut list = list();
    list.record_incident(at(0), &incident(1, "a/1", "desk-1", &["bad"]));
    assert!(!is_refused(&mut list, 1, "bad"));
    list.record_incident(at(2), &incident(1, "b/1", "desk-2", &["bad"]));
    assert!(is_refused(&mut list, 3, "bad"));
    assert!(!is_refused(&mut list, 600_002, "bad"));
}

/// Notices of one crash arrive twice, or from each instance that had a connection to the dead server.
/// Counted apart, one crash would refuse every request that was on the server.
#[test]
fn one_crash_counts_once() {
    let mut list = list();
    for serial in [1, 1, 2] {
        list.record_incident(at(0), &incident(serial, "a/1", "desk-1", &["bad"]));
    }
    list.record_incident(at(1), &incident(1, "b/1", "desk-1", &["bad"]));
    assert!(!is_refused(&mut list, 2, "bad"));
    let long_after = quarantine::Incident {
        age: time::SpanMs::new(9_000),
        ..incident(1, "a/1", "desk-1", &["bad"])
    };
    list.record_incident(at(20_000), &long_after);
    assert!(!is_refused(&mut list, 20_001, "bad"));
}

/// The service has one backend server, and the request crashes it each time it is back.
#[test]
fn the_same_server_crashed_twice_counts_twice() {
    let mut list = list();
    list.record_incident(at(0), &incident(1, "a/1", "desk-1", &["bad"]));
    list.record_incident(at(5_000), &incident(2, "a/1", "desk-1", &["bad"]));
    assert!(is_refused(&mut list, 5_001, "bad"));
}

/// Ordinary requests share the server with the guilty one. They run alone next time, complete, and are
/// never refused; the guilty one is.
#[test]
fn neighbours_are_not_blamed() {
    let mut list = list();
    let shared = incident(1, "a/1", "desk-1", &["bad", "good"]);
    list.record_incident(at(0), &shared);
    let good = fingerprint_of("good");
    let bad = fingerprint_of("bad");
    assert_eq!(
        list.decide(at(1), good),
        quarantine::QuarantineDecision::RunAlone
    );
    assert_eq!(
        list.decide(at(1), bad),
        quarantine::QuarantineDecision::Wait
    );
    assert!(list.record_completed(at(2), good));
    assert_eq!(
        list.decide(at(3), bad),
        quarantine::QuarantineDecision::RunAlone
    );
    assert_eq!(
        list.decide(at(3), good),
        quarantine::QuarantineDecision::Run
    );
    list.record_incident(at(4), &incident(2, "a/1", "desk-2", &["bad"]));
    assert!(is_refused(&mut list, 5, "bad"));
    // The first notice comes again by way of a peer, older than the completed run.
    let late = quarantine::Incident {
        age: time::SpanMs::new(6),
        ..shared
    };
    list.record_incident(at(6), &late);
    assert_eq!(
        list.decide(at(7), good),
        quarantine::QuarantineDecision::Run
    );
}

/// Operators mend the backend server and clear the request.
#[test]
fn operators_list_and_clear() {
    let mut list = list();
    for (serial, server) in [(1, "desk-1"), (2, "desk-2")] {
        list.record_incident(at(0), &incident(serial, "a/1", server, &["bad"]));
    }
    let listed = list.list(at(0));
    assert_eq!(listed.len(), 1);
    assert!(listed[0].is_refused);
    assert!(list.clear(at(1), listed[0].fingerprint));
    assert!(!is_refused(&mut list, 2, "bad"));
    assert!(list.list(at(2)).is_empty());
}

/// A connection breaks and its server lives: it closed an idle connection, or lost an answer. Were that an
/// incident, requests that harm nobody would be refused on a day of broken connections.
#[test]
fn a_broken_exchange_makes_a_suspect_only_if_its_server_is_found_dead_soon() {
    let mut broken = quarantine::BrokenExchanges::default();
    let server = "desk-1".parse().expect("a server");
    broken.record(at(0), &server, fingerprint_of("long ago"));
    broken.record(at(5_000), &server, fingerprint_of("bad"));
    broken.record(at(5_001), &server, fingerprint_of("bad"));
    let other = "desk-2".parse().expect("a server");
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

/// All instances are killed at once, and a caller sends a request again that had crashed two servers. The
/// restarted instances know of no incident; what was recorded keeps them from sending it to a third one.
#[test]
fn a_request_that_others_recorded_is_refused_without_an_incident() {
    let mut list = list();
    assert!(list.apply_quarantine_record(at(0), fingerprint_of("bad")));
    assert!(!list.apply_quarantine_record(at(1), fingerprint_of("bad")));
    assert!(list.refused_for(at(2), fingerprint_of("bad")).is_some());
    assert!(
        list.refused_for(at(600_001), fingerprint_of("bad"))
            .is_none()
    );
    assert!(list.refused_for(at(2), fingerprint_of("good")).is_none());
}

/// Every instance that hears of the incidents records the request for all others, and only once: each record
/// is a call on the store.
#[test]
fn a_request_is_told_as_refused_once() {
    let mut list = list();
    let first = incident(1, "a/1", "desk-1", &["bad", "beside it"]);
    assert!(list.record_incident(at(0), &first).is_empty());
    let second = incident(2, "a/1", "desk-2", &["bad"]);
    assert_eq!(
        list.record_incident(at(9), &second),
        [fingerprint_of("bad")]
    );
    let third = incident(3, "a/1", "desk-3", &["bad"]);
    assert!(list.record_incident(at(18), &third).is_empty());
}
