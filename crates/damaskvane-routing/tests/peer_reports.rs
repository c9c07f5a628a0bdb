//! Tests of the reports on servers that instances of a zone send each other, and of a region's load.

mod support;

use damaskvane_routing::pool::{
    ExchangeEnd, ExchangeId, LoadReport, PeerHealthReport, PeerServerReport, ServerKey, ServerPool,
    ServerReport,
};
use rand::{RngExt, SeedableRng};
use support::{at, pool_of, server_id, zone};

const fn load(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: 6,
    }
}

/// Records four exchanges with the first server that take nine times as long as usual.
fn make_slow(pool: &mut ServerPool) {
    let mut server = pool.server_mut(&server_id("east-a-0")).expect("a server");
    for number in 0..4 {
        let now = at(1_000 + number * 100);
        server.record_sent(now, ExchangeId(number), 100.0);
        server.record_end(
            now,
            ExchangeId(number),
            ExchangeEnd::Answered,
            ServerReport::default(),
        );
        server.record_work_time(now, 900.0, 100.0);
    }
}

/// Guards against a slow server that each instance of a large zone detects only by its own late responses.
#[test]
fn a_slow_server_is_reported_and_so_is_its_recovery() {
    let mut observer = pool_of(&[("east-a", 1)]);
    let mut receiver = pool_of(&[("east-a", 1)]);
    make_slow(&mut observer);
    let slowness = |pool: &ServerPool, now_ms| {
        let server = pool.server(&server_id("east-a-0")).expect("a server");
        server.slowness(at(now_ms))
    };
    let reports = observer.take_server_reports(at(1_400), 8, Some(at(1_400)));
    receiver.apply_server_reports(at(1_400), &reports);
    assert!(slowness(&receiver, 1_500) > 3.0);
    assert!(
        observer
            .take_server_reports(at(1_600), 8, Some(at(1_600)))
            .is_empty(),
        "the server is reported once"
    );
    assert!(
        receiver
            .take_server_reports(at(1_600), 8, Some(at(1_600)))
            .is_empty(),
        "a report of a peer is not reported again"
    );
    let mut server = observer
        .server_mut(&server_id("east-a-0"))
        .expect("a server");
    for number in 0..20 {
        server.record_work_time(at(2_000 + number), 100.0, 100.0);
    }
    drop(server);
    let reports = observer.take_server_reports(at(2_100), 8, Some(at(2_100)));
    receiver.apply_server_reports(at(2_100), &reports);
    assert!(slowness(&receiver, 2_200) < 1.5);
}

/// Guards against an instance that is cut off from the servers and tells others that these are silent or failing.
#[test]
fn failures_are_reported_only_after_a_sign_of_life_of_any_server() {
    let mut pool = pool_of(&[("east-a", 2)]);
    let silent = server_id("east-a-0");
    let broken = server_id("east-a-1");
    let exchange = |pool: &mut ServerPool, server, number| {
        let mut server = pool.server_mut(server).expect("a server");
        server.record_sent(at(1_000), ExchangeId(number), 50.0);
    };
    exchange(&mut pool, &silent, 1);
    exchange(&mut pool, &broken, 2);
    exchange(&mut pool, &broken, 3);
    let mut server = pool.server_mut(&broken).expect("a server");
    let end = ExchangeEnd::Broken;
    server.record_end(at(1_010), ExchangeId(2), end, ServerReport::default());
    server.record_end(at(1_010), ExchangeId(3), end, ServerReport::default());
    drop(server);
    for contact_at in [None, Some(at(900)), Some(at(1_005))] {
        assert_eq!(pool.take_server_reports(at(2_000), 8, contact_at), []);
    }
    assert_eq!(
        pool.take_server_reports(at(2_000), 8, Some(at(1_990)))
            .len(),
        2
    );
}

/// Guards against a peer's report that a server is slow, which overrides newer measurements of this instance.
#[test]
fn newer_local_measurements_override_a_report_of_slowness() {
    let mut observer = pool_of(&[("east-a", 1)]);
    let mut receiver = pool_of(&[("east-a", 1)]);
    make_slow(&mut observer);
    let reports = observer.take_server_reports(at(1_400), 8, Some(at(1_400)));
    receiver.apply_server_reports(at(1_400), &reports);
    let mut server = receiver
        .server_mut(&server_id("east-a-0"))
        .expect("a server");
    server.record_work_time(at(1_500), 100.0, 100.0);
    assert!(server.slowness(at(1_600)) < 1.2);
}

/// Guards against a peer's report of a server's failures that overrides newer responses of the server to this instance.
#[test]
fn newer_local_responses_override_a_report_of_failures() {
    let mut receiver = pool_of(&[("east-a", 1)]);
    let failing = PeerServerReport {
        server: ServerKey::of(&server_id("east-a-0")),
        load: None,
        health: Some(PeerHealthReport {
            slowness: 1.0,
            failure_share: 0.8,
        }),
        age_ms: 0,
    };
    receiver.apply_server_reports(at(1_000), &[failing]);
    let mut server = receiver
        .server_mut(&server_id("east-a-0"))
        .expect("a server");
    assert!(server.failure_share(at(1_050)) > 0.7);
    server.record_sent(at(1_100), ExchangeId(1), 100.0);
    server.record_end(
        at(1_200),
        ExchangeId(1),
        ExchangeEnd::Answered,
        ServerReport::default(),
    );
    assert!(server.failure_share(at(1_250)) < 0.1);
}

/// Guards against a delayed health report that replaces a newer one.
#[test]
fn an_outdated_health_report_is_ignored() {
    let mut receiver = pool_of(&[("east-a", 1)]);
    let health_report = |slowness, age_ms| PeerServerReport {
        server: ServerKey::of(&server_id("east-a-0")),
        load: None,
        health: Some(PeerHealthReport {
            slowness,
            failure_share: 0.0,
        }),
        age_ms,
    };
    receiver.apply_server_reports(at(1_000), &[health_report(6.0, 0)]);
    receiver.apply_server_reports(at(1_100), &[health_report(1.0, 900)]);
    let server = receiver.server(&server_id("east-a-0")).expect("a server");
    assert!(server.slowness(at(1_200)) > 4.0);
}

/// Guards against a server whose exchanges hang, and which is reported to peers only after one of these exchanges ends.
#[test]
fn a_server_whose_exchanges_hang_is_reported() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let mut server = pool.server_mut(&server_id("east-a-0")).expect("a server");
    server.record_sent(at(1_000), ExchangeId(1), 100.0);
    drop(server);
    assert!(
        pool.take_server_reports(at(1_200), 8, Some(at(1_200)))
            .is_empty()
    );
    let reports = pool.take_server_reports(at(1_600), 8, Some(at(1_600)));
    let health = reports.first().and_then(|report| report.health);
    assert!(
        health.is_some_and(|health| health.slowness > 5.0),
        "{reports:?}"
    );
}

/// Guards against a region that seems full because most load reports are about busy servers: they receive more of the
/// requests, and peers report only them. Popular objects would then lose their servers in each zone, and their requests
/// would cross zones.
#[test]
fn the_load_of_a_region_is_the_mean_load_of_its_servers() {
    const SERVERS: usize = 100;
    let mut random = rand_pcg::Pcg32::seed_from_u64(9);
    let mut pool = pool_of(&[("east-a", SERVERS)]);
    // Requests on each server: half of its slots on average, distributed independently of each other.
    let mut loads = [0_u32; SERVERS];
    for _ in 0..SERVERS * 3 {
        loads[random.random_range(0..SERVERS)] += 1;
    }
    let server_of_request: Vec<usize> = (0..SERVERS)
        .flat_map(|server| core::iter::repeat_n(server, loads[server] as usize))
        .collect();
    for number in 0..2_000 {
        let index = server_of_request[random.random_range(0..server_of_request.len())];
        let now = at(1_000 + number * 10);
        let id = server_id(&format!("east-a-{index}"));
        let report = LoadReport {
            running: loads[index].min(6),
            waiting: loads[index].saturating_sub(6),
            slots: 6,
        };
        let mut server = pool.server_mut(&id).expect("a server");
        server.record_sent(now, ExchangeId(number), 100.0);
        let report = ServerReport {
            load: Some(report),
            ..ServerReport::default()
        };
        server.record_end(now, ExchangeId(number), ExchangeEnd::Answered, report);
        drop(server);
        let busy = PeerServerReport {
            server: ServerKey::of(&server_id("east-a-0")),
            load: Some(load(6, 18)),
            health: None,
            age_ms: 0,
        };
        pool.apply_server_reports(now, &[busy]);
    }
    let topology = pool.topology();
    let zone = topology.zone(&zone("east-a")).expect("a zone");
    let servers = pool.service(&support::service_id()).expect("servers");
    let load = servers.load(at(21_000), topology, topology.region_of(zone), 0);
    assert!((0.4..0.6).contains(&load), "{load}");
}
