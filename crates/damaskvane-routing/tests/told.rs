//! What instances of a zone tell each other of servers, and a region's load.

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

/// A server whose exchanges with one instance all take several times as long as usual.
fn slow(pool: &mut ServerPool) {
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

/// Guards against a slow server that each instance of a large zone has to find out by itself, with late answers.
#[test]
fn a_slow_server_is_told_and_so_is_that_it_is_well_again() {
    let mut seeing = pool_of(&[("east-a", 1)]);
    let mut hearing = pool_of(&[("east-a", 1)]);
    slow(&mut seeing);
    let slowness = |pool: &ServerPool, now_ms| {
        let server = pool.server(&server_id("east-a-0")).expect("a server");
        server.slowness(at(now_ms))
    };
    let told = seeing.take_server_reports(at(1_400), 8);
    hearing.apply_server_reports(at(1_400), &told);
    assert!(slowness(&hearing, 1_500) > 3.0);
    assert!(
        seeing.take_server_reports(at(1_600), 8).is_empty(),
        "told once"
    );
    assert!(
        hearing.take_server_reports(at(1_600), 8).is_empty(),
        "not its own finding"
    );
    let mut server = seeing.server_mut(&server_id("east-a-0")).expect("a server");
    for number in 0..20 {
        server.record_work_time(at(2_000 + number), 100.0, 100.0);
    }
    drop(server);
    let told = seeing.take_server_reports(at(2_100), 8);
    hearing.apply_server_reports(at(2_100), &told);
    assert!(slowness(&hearing, 2_200) < 1.5);
}

/// Guards against a word on a server that goes before what the instance itself has seen since.
#[test]
fn own_evidence_that_is_newer_goes_before_what_is_told() {
    let mut seeing = pool_of(&[("east-a", 1)]);
    let mut hearing = pool_of(&[("east-a", 1)]);
    slow(&mut seeing);
    let told = seeing.take_server_reports(at(1_400), 8);
    hearing.apply_server_reports(at(1_400), &told);
    let mut server = hearing
        .server_mut(&server_id("east-a-0"))
        .expect("a server");
    server.record_work_time(at(1_500), 100.0, 100.0);
    assert!(server.slowness(at(1_600)) < 1.2);
}

/// Guards against a word on failures that goes before answers that the instance itself has got since.
#[test]
fn own_answers_that_are_newer_go_before_failures_that_are_told() {
    let mut hearing = pool_of(&[("east-a", 1)]);
    let failing = PeerServerReport {
        server: ServerKey::of(&server_id("east-a-0")),
        load: None,
        health: Some(PeerHealthReport {
            slowness: 1.0,
            failure_share: 0.8,
        }),
        age_ms: 0,
    };
    hearing.apply_server_reports(at(1_000), &[failing]);
    let mut server = hearing
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

/// Guards against a word that was held up on its way and replaces a newer one.
#[test]
fn an_older_word_on_a_servers_health_changes_nothing() {
    let mut hearing = pool_of(&[("east-a", 1)]);
    let said = |slowness, age_ms| PeerServerReport {
        server: ServerKey::of(&server_id("east-a-0")),
        load: None,
        health: Some(PeerHealthReport {
            slowness,
            failure_share: 0.0,
        }),
        age_ms,
    };
    hearing.apply_server_reports(at(1_000), &[said(6.0, 0)]);
    hearing.apply_server_reports(at(1_100), &[said(1.0, 900)]);
    let server = hearing.server(&server_id("east-a-0")).expect("a server");
    assert!(server.slowness(at(1_200)) > 4.0);
}

/// Guards against a server whose exchanges hang, of which nobody hears before one of them ends.
#[test]
fn a_server_whose_exchanges_hang_is_told() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let mut server = pool.server_mut(&server_id("east-a-0")).expect("a server");
    server.record_sent(at(1_000), ExchangeId(1), 100.0);
    drop(server);
    assert!(pool.take_server_reports(at(1_200), 8).is_empty());
    let told = pool.take_server_reports(at(1_600), 8);
    let health = told.first().and_then(|told| told.health);
    assert!(
        health.is_some_and(|health| health.slowness > 5.0),
        "{told:?}"
    );
}

/// Guards against a region that seems full since busy servers are met more often, and are the only ones told of: its
/// popular objects would lose their servers in each zone, and cross zones.
#[test]
fn a_region_is_as_busy_as_its_servers_are_in_the_mean() {
    const SERVERS: usize = 100;
    let mut random = rand_pcg::Pcg32::seed_from_u64(9);
    let mut pool = pool_of(&[("east-a", SERVERS)]);
    // Requests on each server, half of its slots in the mean; they come independently of each other.
    let mut loads = [0_u32; SERVERS];
    for _ in 0..SERVERS * 3 {
        loads[random.random_range(0..SERVERS)] += 1;
    }
    let all: Vec<usize> = (0..SERVERS)
        .flat_map(|server| core::iter::repeat_n(server, loads[server] as usize))
        .collect();
    for number in 0..2_000 {
        let met = all[random.random_range(0..all.len())];
        let now = at(1_000 + number * 10);
        let id = server_id(&format!("east-a-{met}"));
        let report = LoadReport {
            running: loads[met].min(6),
            waiting: loads[met].saturating_sub(6),
            slots: 6,
        };
        let mut server = pool.server_mut(&id).expect("a server");
        server.record_sent(now, ExchangeId(number), 100.0);
        let report = ServerReport { load: Some(report) };
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
    let load = servers.load(at(21_000), topology, topology.region_of(zone));
    assert!((0.4..0.6).contains(&load), "{load}");
}
