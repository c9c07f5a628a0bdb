//! Tests of suspects whose fingerprint doesn't cover the caller, so that a refusal affects every caller.

mod support;

use damaskvane_core::time;
use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::quarantine;
use damaskvane_dispatch::quarantine::Scope;

use support::keys::{at, fingerprint_of, home_of};

fn new_quarantine() -> quarantine::Quarantine {
    quarantine::Quarantine::new(quarantine::QuarantineSettings::default())
}

/// Returns the fingerprint of the request of any caller.
fn bad() -> Fingerprint {
    fingerprint_of("bad").any_caller()
}

/// Returns the report of a crash while the request `bad` was running; `serial` also names the server.
fn crash(serial: u64) -> quarantine::Incident {
    quarantine::Incident {
        id: quarantine::IncidentId {
            reporter: home_of("a/1"),
            serial,
        },
        server: format!("desk-{serial}").parse().expect("a server id"),
        suspects: vec![bad()],
        age: time::SpanMs::ZERO,
    }
}

fn of_caller(caller: &str) -> quarantine::RequestIdentity {
    quarantine::RequestIdentity::new(fingerprint_of("bad"), caller)
}

fn record(quarantine: &mut quarantine::Quarantine, now_ms: u64, scope: Scope, serial: u64) {
    let _ = quarantine.record_scoped_incident(at(now_ms), scope, &crash(serial));
}

fn is_refused(quarantine: &quarantine::Quarantine, now_ms: u64) -> bool {
    let refused_for = quarantine.refused_for(at(now_ms), bad());
    refused_for.is_some()
}

/// A rack of servers fails while a request that many callers send runs on several of them. Without waves the request
/// would be refused to every caller.
#[test]
fn servers_that_crash_at_once_refuse_no_request_to_all_callers() {
    let mut quarantine = new_quarantine();
    for serial in 0..6 {
        record(
            &mut quarantine,
            1_000 + serial * 60,
            Scope::AnyCaller,
            serial,
        );
    }
    assert!(!is_refused(&quarantine, 1_400));
}

/// A request crashes servers again and again, each time sent by another caller.
#[test]
fn a_second_wave_of_crashes_refuses_a_request_to_all_callers() {
    let mut quarantine = new_quarantine();
    record(&mut quarantine, 1_000, Scope::AnyCaller, 1);
    record(&mut quarantine, 1_100, Scope::AnyCaller, 2);
    record(&mut quarantine, 1_600, Scope::AnyCaller, 3);
    assert!(is_refused(&quarantine, 1_601));
}

/// The report of the first wave arrives after that of the second; the order of reports must not matter.
#[test]
fn waves_are_counted_by_the_time_of_the_crashes() {
    let mut quarantine = new_quarantine();
    record(&mut quarantine, 1_600, Scope::AnyCaller, 1);
    let late = quarantine::Incident {
        age: time::SpanMs::new(700),
        ..crash(2)
    };
    let _ = quarantine.record_scoped_incident(at(1_700), Scope::AnyCaller, &late);
    assert!(is_refused(&quarantine, 1_701));
}

/// A harmless request is in flight at two failures of servers, and completes at another instance in between. Without
/// the other instance's message it would be refused here.
#[test]
fn a_request_that_completed_at_another_instance_is_no_suspect() {
    let mut quarantine = new_quarantine();
    record(&mut quarantine, 1_000, Scope::AnyCaller, 1);
    assert!(quarantine.record_request_completed(at(1_200), &of_caller("b")));
    record(&mut quarantine, 2_000, Scope::AnyCaller, 2);
    assert!(!is_refused(&quarantine, 2_001));
}

/// The message that a request completed arrives after the report of a later crash; the later crash must count.
#[test]
fn a_crash_after_the_completed_run_still_counts() {
    let mut quarantine = new_quarantine();
    record(&mut quarantine, 1_000, Scope::AnyCaller, 1);
    record(&mut quarantine, 2_000, Scope::AnyCaller, 2);
    assert!(is_refused(&quarantine, 2_001));
    assert!(!quarantine.record_request_completed(at(1_500), &of_caller("b")));
    assert!(!is_refused(&quarantine, 2_002));
    record(&mut quarantine, 3_000, Scope::AnyCaller, 3);
    assert!(is_refused(&quarantine, 3_001));
}

/// A connection breaks in a second wave. The retry must wait for the probe of the server, or it crashes another server
/// before the first crash is confirmed; in the first wave it must not wait, since most broken connections are harmless.
#[test]
fn a_retry_waits_for_a_probe_only_if_a_crash_would_refuse_it() {
    let mut quarantine = new_quarantine();
    let bad = bad();
    assert!(!quarantine.may_be_refused(at(1_000), Scope::AnyCaller, bad, 2));
    assert!(quarantine.may_be_refused(at(1_000), Scope::Caller, bad, 2));
    record(&mut quarantine, 1_000, Scope::AnyCaller, 1);
    assert!(!quarantine.may_be_refused(at(1_100), Scope::AnyCaller, bad, 1));
    assert!(quarantine.may_be_refused(at(1_600), Scope::AnyCaller, bad, 1));
    assert!(!quarantine.may_be_refused(at(1_600), Scope::AnyCaller, bad, 0));
}

fn record_of_caller(quarantine: &mut quarantine::Quarantine, now_ms: u64, serial: u64) {
    let incident = quarantine::Incident {
        suspects: vec![of_caller("a").fingerprint(Scope::Caller)],
        ..crash(serial)
    };
    let _ = quarantine.record_scoped_incident(at(now_ms), Scope::Caller, &incident);
}

fn is_caller_refused(quarantine: &quarantine::Quarantine, now_ms: u64) -> bool {
    let refused_for = quarantine.refused_for(at(now_ms), of_caller("a").fingerprint(Scope::Caller));
    refused_for.is_some()
}

/// Two servers of a rack fail under one caller's request, and other callers' same request completes. The caller must not
/// be refused for minutes.
#[test]
fn a_caller_is_served_again_once_others_were_served_after_servers_failed_together() {
    let mut quarantine = new_quarantine();
    record_of_caller(&mut quarantine, 1_000, 1);
    record_of_caller(&mut quarantine, 1_100, 2);
    assert!(is_caller_refused(&quarantine, 1_101));
    assert!(quarantine.record_request_completed(at(1_200), &of_caller("b")));
    assert!(!is_caller_refused(&quarantine, 1_201));
}

/// A request crashes servers only with what one caller sends beside path and body. Others' completed runs must not let
/// that caller crash two servers again and again.
#[test]
fn a_caller_whose_request_crashed_servers_in_two_waves_is_not_excused_by_others() {
    let mut quarantine = new_quarantine();
    record_of_caller(&mut quarantine, 1_000, 1);
    record_of_caller(&mut quarantine, 1_100, 2);
    assert!(quarantine.record_request_completed(at(1_200), &of_caller("b")));
    record_of_caller(&mut quarantine, 1_600, 3);
    assert!(is_caller_refused(&quarantine, 1_601));
    assert!(!quarantine.record_request_completed(at(1_700), &of_caller("b")));
    assert!(is_caller_refused(&quarantine, 1_701));
    assert!(quarantine.record_request_completed(at(1_800), &of_caller("a")));
    assert!(!is_caller_refused(&quarantine, 1_801));
}

/// The record of a caller that others' completed runs excuse is removed. If that forgot the caller's crashes, its request
/// would take down two servers again each time.
#[test]
fn a_caller_keeps_its_crashes_when_its_record_is_removed() {
    let mut quarantine = new_quarantine();
    let of_a = of_caller("a").fingerprint(Scope::Caller);
    record_of_caller(&mut quarantine, 1_000, 1);
    record_of_caller(&mut quarantine, 1_100, 2);
    let _ = quarantine.apply_quarantine_record(at(1_150), of_a);
    assert!(quarantine.record_request_completed(at(1_200), &of_caller("b")));
    assert!(!quarantine.release_record(at(1_300), of_a));
    record_of_caller(&mut quarantine, 1_700, 3);
    assert!(is_caller_refused(&quarantine, 1_701));
    assert!(quarantine.release_record(at(1_800), of_a));
    assert!(!is_caller_refused(&quarantine, 1_801));
}

/// An instance that was cut off writes the record of a quarantine late, after the request has completed elsewhere. The
/// record must not refuse it for minutes; one of a request that crashes servers again must.
#[test]
fn a_record_that_is_written_after_the_request_completed_refuses_nobody() {
    let mut quarantine = new_quarantine();
    let of_a = of_caller("a").fingerprint(Scope::Caller);
    for completed_by in ["a", "b"] {
        record_of_caller(&mut quarantine, 1_000, 1);
        record_of_caller(&mut quarantine, 1_100, 2);
        let _ = quarantine.record_request_completed(at(1_200), &of_caller(completed_by));
        assert!(!quarantine.apply_quarantine_record(at(1_300), of_a));
        assert!(!is_caller_refused(&quarantine, 1_301));
        quarantine.clear(at(1_400), of_a);
    }
    assert!(quarantine.apply_quarantine_record(at(2_000), of_a));
    assert!(is_caller_refused(&quarantine, 2_001));
}

/// A report of a crash is lost and arrives when it is sent again. Meanwhile the request has completed here, where it was no
/// suspect yet. Without a memory of that run the next failure of a rack would refuse the request to all callers.
#[test]
fn a_report_that_is_sent_again_accuses_no_request_that_completed_since() {
    let mut quarantine = new_quarantine();
    let elsewhere = quarantine::Incident {
        suspects: vec![fingerprint_of("other").any_caller()],
        ..crash(1)
    };
    let _ = quarantine.record_scoped_incident(at(1_000), Scope::AnyCaller, &elsewhere);
    quarantine.record_request_completed(at(1_300), &of_caller("b"));
    let again = quarantine::Incident {
        age: time::SpanMs::new(420),
        ..crash(2)
    };
    let _ = quarantine.record_scoped_incident(at(1_400), Scope::AnyCaller, &again);
    assert!(!quarantine.is_suspect(bad()));
    record(&mut quarantine, 1_600, Scope::AnyCaller, 3);
    assert!(!is_refused(&quarantine, 1_601));
}
