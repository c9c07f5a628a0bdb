//! Tests of trials: which copies of a request run while it is unknown whether the request crashes servers.
//!
//! A copy is one client's call. Crashes within 500 ms are one wave, which proves nothing of a request that many callers
//! send.

mod support;

use damaskvane_core::time;
use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_dispatch::home::Home;
use damaskvane_dispatch::quarantine::{
    CopyDecision, CopyId, Incident, IncidentId, Quarantine, QuarantineSettings, RequestIdentity,
    Scope,
};

use support::keys::{at, fingerprint_of, home_of};

/// The time of the first crash, in milliseconds.
const FIRST_CRASH_MS: u64 = 1_000;
const FIRST_COPY: CopyId = CopyId::new(1);
const SECOND_COPY: CopyId = CopyId::new(2);

fn request() -> Fingerprint {
    fingerprint_of("popular").any_caller()
}

fn of_caller(caller: &str) -> RequestIdentity {
    RequestIdentity::new(fingerprint_of("popular"), caller)
}

fn first_reporter() -> Home {
    home_of("a/1")
}

fn other_instance() -> Home {
    home_of("b/1")
}

fn crash(reporter: &Home, serial: u64) -> Incident {
    Incident {
        id: IncidentId {
            reporter: reporter.clone(),
            serial,
        },
        server: format!("desk-{serial}").parse().expect("a server id"),
        suspects: vec![request()],
        age: time::SpanMs::ZERO,
    }
}

fn record(list: &mut Quarantine, at_ms: u64, incident: &Incident) {
    let _ = list.record_scoped_incident(at(at_ms), Scope::AnyCaller, incident);
}

/// Returns what an instance knows after crashes at these times, all reported by the first reporter.
fn after_crashes(times_ms: &[u64]) -> Quarantine {
    let mut list = Quarantine::new(QuarantineSettings::default());
    for (at_ms, serial) in times_ms.iter().zip(1..) {
        record(&mut list, *at_ms, &crash(&first_reporter(), serial));
    }
    list
}

fn decide(list: &mut Quarantine, at_ms: u64, own: &Home, copy: CopyId) -> CopyDecision {
    list.decide_copy(at(at_ms), own, &of_caller("10.0.0.1"), copy)
}

/// Guards against refusing harmless requests after each crash: most of those that were on the server are harmless.
#[test]
fn one_crash_holds_no_copy() {
    let mut list = after_crashes(&[FIRST_CRASH_MS]);
    let decision = decide(&mut list, 1_010, &other_instance(), FIRST_COPY);
    assert_eq!(decision, CopyDecision::Run);
}

/// Guards against a first wave that takes as many servers as there are copies in flight.
#[test]
fn after_two_crashes_one_copy_runs_in_the_fleet() {
    let mut list = after_crashes(&[FIRST_CRASH_MS, 1_010]);
    let own = first_reporter();
    let first = decide(&mut list, 1_020, &own, FIRST_COPY);
    assert_eq!(first, CopyDecision::RunAsTrial);
    assert_eq!(
        decide(&mut list, 1_020, &own, SECOND_COPY),
        CopyDecision::Hold
    );
    let elsewhere = decide(&mut list, 1_020, &other_instance(), FIRST_COPY);
    assert_eq!(elsewhere, CopyDecision::Hold);
}

/// Guards against two instances that both take themselves for the one that runs the trial, since reports reached them in
/// another order.
#[test]
fn the_order_of_reports_does_not_change_who_runs_the_trial() {
    let reports = [crash(&other_instance(), 1), crash(&first_reporter(), 2)];
    for order in [[0, 1], [1, 0]] {
        let mut list = Quarantine::new(QuarantineSettings::default());
        for number in order {
            record(&mut list, FIRST_CRASH_MS, &reports[number]);
        }
        let runner = list.trial_runner(at(1_010), request());
        assert_eq!(runner, Some(&first_reporter()));
    }
}

/// Guards against copies that wait for nothing after the trial has ended without a result, such as by its client.
#[test]
fn the_next_copy_is_the_trial_once_the_first_one_has_ended() {
    let mut list = after_crashes(&[FIRST_CRASH_MS, 1_010]);
    let own = first_reporter();
    let _ = decide(&mut list, 1_020, &own, FIRST_COPY);
    assert!(!list.record_copy_end(&of_caller("10.0.0.1"), SECOND_COPY));
    assert!(list.record_copy_end(&of_caller("10.0.0.1"), FIRST_COPY));
    let next = decide(&mut list, 1_030, &own, SECOND_COPY);
    assert_eq!(next, CopyDecision::RunAsTrial);
}

/// Guards against trials that follow each other in one wave: each takes a server and proves nothing.
#[test]
fn a_trial_that_broke_is_the_last_one_of_its_wave() {
    let mut list = after_crashes(&[FIRST_CRASH_MS, 1_010]);
    let own = first_reporter();
    let _ = decide(&mut list, 1_020, &own, FIRST_COPY);
    list.record_copy_broken(at(1_100), &of_caller("10.0.0.1"), FIRST_COPY);
    list.record_copy_end(&of_caller("10.0.0.1"), FIRST_COPY);
    for copy in [FIRST_COPY, SECOND_COPY] {
        assert_eq!(decide(&mut list, 1_499, &own, copy), CopyDecision::Hold);
    }
    let next = decide(&mut list, 1_500, &own, SECOND_COPY);
    assert_eq!(next, CopyDecision::RunAsTrial);
}

/// Guards against a request that is never proven to crash servers: a trial after the wave must count as another one.
#[test]
fn a_crash_under_the_trial_after_a_wave_refuses_the_request() {
    let mut list = after_crashes(&[FIRST_CRASH_MS, 1_010, 1_500]);
    assert!(list.refused_for(at(1_510), request()).is_some());
    for own in [first_reporter(), other_instance()] {
        assert_eq!(
            decide(&mut list, 1_510, &own, FIRST_COPY),
            CopyDecision::Hold
        );
    }
    assert_eq!(list.trial_runner(at(1_510), request()), None);
}

/// Guards against a harmless request that is held for long after servers failed beside it: the instance that runs the
/// trial is cut off, has died, or has no further copy.
#[test]
fn other_instances_run_trials_if_the_first_reporter_runs_none() {
    let mut list = after_crashes(&[FIRST_CRASH_MS, 1_010]);
    let own = other_instance();
    assert_eq!(
        decide(&mut list, 1_759, &own, FIRST_COPY),
        CopyDecision::Hold
    );
    let first = decide(&mut list, 1_760, &own, FIRST_COPY);
    assert_eq!(first, CopyDecision::RunAsTrial);
    assert_eq!(
        decide(&mut list, 1_760, &own, SECOND_COPY),
        CopyDecision::Hold
    );
    assert_eq!(
        decide(&mut list, 2_010, &own, SECOND_COPY),
        CopyDecision::Run
    );
}

/// Guards against copies that are held although the request has completed at the instance that runs the trial.
#[test]
fn a_completed_trial_frees_all_copies() {
    let mut list = after_crashes(&[FIRST_CRASH_MS, 1_010]);
    let own = first_reporter();
    let _ = decide(&mut list, 1_020, &own, FIRST_COPY);
    assert!(list.record_request_completed(at(1_100), &of_caller("10.0.0.2")));
    for copy in [FIRST_COPY, SECOND_COPY] {
        assert_eq!(decide(&mut list, 1_101, &own, copy), CopyDecision::Run);
    }
    record(&mut list, 1_200, &crash(&own, 3));
    record(&mut list, 1_210, &crash(&own, 4));
    let next = decide(&mut list, 1_220, &own, SECOND_COPY);
    assert_eq!(next, CopyDecision::RunAsTrial);
}

/// Guards against copies of a refused caller that stay on their servers: its request has crashed two others.
#[test]
fn a_request_that_is_refused_to_its_caller_is_held_for_this_caller_only() {
    let mut list = Quarantine::new(QuarantineSettings::default());
    let caller = of_caller("10.0.0.1");
    for serial in 1..=2 {
        let incident = Incident {
            suspects: vec![caller.fingerprint(Scope::Caller)],
            ..crash(&first_reporter(), serial)
        };
        let _ = list.record_incident(at(FIRST_CRASH_MS), &incident);
    }
    let own = other_instance();
    assert_eq!(
        decide(&mut list, 1_010, &own, FIRST_COPY),
        CopyDecision::Hold
    );
    let other = list.decide_copy(at(1_010), &own, &of_caller("10.0.0.2"), SECOND_COPY);
    assert_eq!(other, CopyDecision::Run);
}
