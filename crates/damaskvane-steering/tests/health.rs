//! Tests of how health reports and the observed outcomes of requests decide a server's admission, the part of
//! its slots that may be used.
//!
//! A slot is the right to run one request on a backend server.
#![allow(clippy::unwrap_used)]

use damaskvane_core::{ids, time};
use damaskvane_steering::health;
use health::{Admission, ExclusionReason, Outcome};

fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

fn servers(count: usize) -> Vec<ids::BackendServerId> {
    (0..count)
        .map(|index| format!("rider-desk-{index}").parse().unwrap())
        .collect()
}

fn pool(count: usize) -> (health::Pool, Vec<ids::BackendServerId>) {
    let mut pool = health::Pool::new(health::Settings::default());
    let servers = servers(count);
    servers
        .iter()
        .for_each(|server| pool.join(server.clone(), at(0)));
    (pool, servers)
}

fn answered() -> Outcome {
    Outcome::Answered {
        took: time::SpanMs::new(50),
    }
}

/// All health endpoints report unhealthy at once, for a cause outside the service. If the pool excluded all
/// servers because of these reports, it would refuse all requests, although every request would succeed.
#[test]
fn reports_alone_exclude_no_more_servers_than_their_limit() {
    for count in 1..=20 {
        let (mut pool, servers) = pool(count);
        for server in &servers {
            pool.record_report(server, false, at(60_000));
        }
        let excluded = pool
            .admissions(at(60_000))
            .into_values()
            .filter(|admission| !admission.takes_work())
            .count();
        assert_eq!(excluded, count * 340 / 1_000, "of {count}");
    }
}

#[test]
fn a_recent_response_outweighs_an_unhealthy_report() {
    let (mut pool, servers) = pool(3);
    pool.record_report(&servers[0], false, at(60_000));
    assert_eq!(
        pool.admission(&servers[0], at(60_000)),
        Admission::Excluded {
            reason: ExclusionReason::Report
        }
    );
    pool.record_end(&servers[0], answered(), at(60_100));
    assert_eq!(pool.admission(&servers[0], at(60_200)), Admission::Full);
}

#[test]
fn an_old_report_is_ignored() {
    let (mut pool, servers) = pool(3);
    pool.record_report(&servers[0], false, at(60_000));
    assert_eq!(pool.admission(&servers[0], at(65_001)), Admission::Full);
}

/// A server reports healthy while requests to the server fail. The failures must exclude the server.
#[test]
fn failures_exclude_a_server_despite_a_healthy_report() {
    let (mut pool, servers) = pool(3);
    for _ in 0..3 {
        pool.record_start(&servers[0]);
        pool.record_end(&servers[0], Outcome::Failed, at(60_000));
    }
    pool.record_report(&servers[0], true, at(60_000));
    assert_eq!(
        pool.admission(&servers[0], at(60_001)),
        Admission::Excluded {
            reason: ExclusionReason::Failures
        }
    );
    assert_eq!(pool.admission(&servers[0], at(62_000)), Admission::Probe);
    pool.record_start(&servers[0]);
    assert!(
        !pool.admission(&servers[0], at(62_001)).takes_work(),
        "one probe at a time"
    );
    pool.record_end(&servers[0], answered(), at(62_100));
    assert_eq!(
        pool.admission(&servers[0], at(62_100)),
        Admission::Part { permille: 200 }
    );
    assert_eq!(pool.admission(&servers[0], at(72_100)), Admission::Full);
}

#[test]
fn a_cold_server_gets_a_growing_part_of_its_slots() {
    let (pool, servers) = pool(3);
    let slots = |ms| pool.admission(&servers[0], at(ms)).slots(6);
    assert_eq!([slots(0), slots(5_000), slots(10_000)], [1, 3, 6]);
}

/// A server reports that it is idle while it sheds requests. The pool must count these refusals and halve the
/// number of slots that may be used on the server.
#[test]
fn a_server_that_refuses_requests_gets_half_of_its_slots() {
    let (mut pool, servers) = pool(3);
    for _ in 0..3 {
        pool.record_end(&servers[0], Outcome::Refused, at(60_000));
    }
    assert_eq!(
        pool.admission(&servers[0], at(60_000)),
        Admission::Part { permille: 500 }
    );
    pool.record_end(&servers[0], answered(), at(60_100));
    assert_eq!(pool.admission(&servers[0], at(60_100)), Admission::Full);
}

#[test]
fn a_slow_server_gets_half_of_its_slots() {
    let (mut pool, servers) = pool(3);
    for (index, took_ms) in [(0, 400), (1, 50), (2, 50)] {
        let took = time::SpanMs::new(took_ms);
        pool.record_end(&servers[index], Outcome::Answered { took }, at(60_000));
    }
    assert_eq!(
        pool.admission(&servers[0], at(60_000)),
        Admission::Part { permille: 500 }
    );
    assert_eq!(pool.admission(&servers[1], at(60_000)), Admission::Full);
}

#[test]
fn a_leaving_server_gets_no_new_requests() {
    let (mut pool, servers) = pool(2);
    pool.leave(&servers[0]);
    assert_eq!(
        pool.admission(&servers[0], at(60_000)),
        Admission::Excluded {
            reason: ExclusionReason::Leaving
        }
    );
    pool.join(servers[0].clone(), at(60_000));
    assert!(
        !pool.admission(&servers[0], at(60_000)).takes_work(),
        "a late list does not readmit a leaving server"
    );
}
