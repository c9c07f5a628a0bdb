//! A run that broke a promise is judged as broken, and a run that held is not.

use damaskvane_bench::client::{AnswerFault, Given, Outcome, Try};
use damaskvane_bench::{cluster, demo};
use damaskvane_standins::backend;

const SHIFT_AT: u64 = 10_000;
const DRAIN_AT: u64 = 20_000;
const STOP_AT: u64 = 25_000;
const UNDRAIN_AT: u64 = 30_000;

fn plan() -> demo::Plan {
    demo::Plan::new(&cluster::Deployment::prairie())
}

fn drained() -> cluster::Placement {
    cluster::Placement {
        server: "rider-desk-sask-a-1".into(),
        zone: "sask-a".into(),
    }
}

fn ticket(reason: &'static str, accepted_unix_ms: u64) -> demo::TicketRecord {
    demo::TicketRecord {
        reason,
        accepted_unix_ms,
        in_force_ms: Some(300),
        missing: Vec::new(),
    }
}

fn execution(request_id: &str, started_unix_ms: u64) -> backend::Execution {
    backend::Execution {
        server: drained().server,
        request_id: request_id.into(),
        idempotency_key: format!("key-{request_id}"),
        method: "POST".into(),
        started_unix_ms,
        finished_unix_ms: Some(started_unix_ms + 40),
        aborted: false,
    }
}

fn given(request_id: &str, outcome: Outcome, reason: &str, answered_unix_ms: u64) -> Given {
    Given {
        service: "rider-desk".into(),
        name: request_id.into(),
        idempotency_key: format!("key-{request_id}"),
        outcome,
        reason: reason.into(),
        status: 200,
        server: drained().server,
        tries: vec![Try {
            request_id: request_id.into(),
            instance: plan().stopped,
            outcome,
            reason: reason.into(),
            answered_unix_ms,
        }],
        fault: None,
        started_unix_ms: answered_unix_ms - 40,
        latency_us: 40_000,
        body_bytes: 10,
    }
}

fn share(unix_ms: u64, permille: u32) -> demo::ShareSample {
    demo::ShareSample {
        unix_ms,
        permille,
        version: 1,
    }
}

fn version(unix_ms: u64, version: u64) -> demo::VersionSample {
    demo::VersionSample {
        unix_ms,
        instance: "sask-a-1".into(),
        incarnation: 1,
        version,
    }
}

/// A run in which everything held.
fn held() -> demo::Record {
    demo::Record {
        given: vec![given("r-1", Outcome::Completed, "", 5_040)],
        executions: vec![execution("r-1", 5_000)],
        stats: [(drained().server, backend::ServerStats::default())].into(),
        drained: drained(),
        tickets: vec![
            ticket("shift", SHIFT_AT),
            ticket("drain", DRAIN_AT),
            ticket("undrain", UNDRAIN_AT),
        ],
        shares: vec![
            share(SHIFT_AT - 1, 0),
            share(SHIFT_AT + 1_000, 150),
            share(SHIFT_AT + 4_000, 400),
        ],
        versions: vec![version(1, 1), version(2, 2)],
        peaks: [("sask".to_owned(), 20)].into(),
        stop: demo::StopRecord {
            instance: plan().stopped,
            told_unix_ms: STOP_AT,
            ended_unix_ms: STOP_AT + 1_500,
            exit_code: Some(0),
            back_unix_ms: STOP_AT + 1_700,
        },
        booted_without_store_ms: Some(80),
        ..demo::Record::default()
    }
}

fn verdicts(record: &demo::Record) -> Vec<bool> {
    let judged = demo::judge(&cluster::Deployment::prairie(), &plan(), record);
    judged.iter().map(|promise| promise.held).collect()
}

#[test]
fn a_run_that_held_is_judged_as_held() {
    assert_eq!(verdicts(&held()), [true; 8]);
}

#[test]
fn an_empty_run_holds_nothing() {
    let held: usize = verdicts(&demo::Record::default())
        .into_iter()
        .filter(|held| *held)
        .count();
    assert_eq!(held, 0);
}

#[test]
fn each_broken_promise_is_judged_as_broken_and_no_other() {
    type Break = fn(&mut demo::Record);
    let cases: [(usize, Break); 13] = [
        (0, |run| run.shares[1].permille = 301),
        (0, |run| {
            run.shares.iter_mut().for_each(|share| share.permille = 0);
        }),
        (1, |run| {
            run.stats
                .values_mut()
                .for_each(|stats| stats.over_slots = 1);
        }),
        (2, |run| run.given[0].fault = Some(AnswerFault::NotWhole)),
        (3, |run| {
            run.given
                .push(given("r-2", Outcome::NotRun, "backend_refused", 6_000));
            run.executions.push(execution("r-2", 5_990));
        }),
        (4, |run| run.executions.push(execution("r-1", 5_500))),
        (5, |run| {
            run.given
                .push(given("r-3", Outcome::Completed, "", DRAIN_AT + 3_100));
            run.executions.push(execution("r-3", DRAIN_AT + 3_001));
        }),
        (5, |run| run.executions[0].aborted = true),
        (6, |run| run.stop.exit_code = None),
        (6, |run| {
            run.given.push(given(
                "r-4",
                Outcome::Unknown,
                "connection-broken",
                STOP_AT + 500,
            ));
        }),
        (7, |run| run.tickets[0].in_force_ms = None),
        (7, |run| run.versions.push(version(3, 1))),
        (7, |run| run.booted_without_store_ms = None),
    ];
    for (number, (broken, change)) in cases.into_iter().enumerate() {
        let mut record = held();
        change(&mut record);
        let mut expected = [true; 8];
        expected[broken] = false;
        assert_eq!(verdicts(&record), expected, "case {number}");
    }
}
