//! Tests of how the pool applies store changes, broken connections, probe results and peers' reports of load.
//!
//! An entry is a server's record in the store. The grace time is the time for which the pool retains a server whose
//! entry is missing after a store outage. A cold server has started recently and gets few requests during its warm-up.
//! A server's slots are the number of requests that it runs at the same time.

mod support;

use std::collections::BTreeSet;

use damaskvane_routing::pool::{
    Change, ExchangeEnd, ExchangeId, Liveness, LoadReport, PeerServerReport, ProbeResult,
    ServerEntry, ServerKey, ServerPool, ServerReport, ServerState,
};
use support::{at, entry, pool, pool_of, server_id, zone};

/// Guards against an empty pool after a store outage: servers can't renew their entries during the outage, so the
/// entries expire. If the first list after the outage were applied at once, every client would be refused although all
/// servers are alive.
#[test]
fn entries_missing_right_after_an_outage_stay_until_their_grace_ends() {
    let mut pool = pool_of(&[("east-a", 2)]);
    pool.store_returned(at(10_000));
    let changes = pool.replace(at(10_000), [entry("east-a-0", "east-a")]);
    assert_eq!(changes, [Change::Expiring(server_id("east-a-1"))]);
    assert!(pool.expire(at(11_000)).is_empty());
    assert_eq!(pool.servers().count(), 2);
    assert_eq!(
        pool.expire(at(12_500)),
        [Change::Gone(server_id("east-a-1"))]
    );
}

/// Guards against a live server that receives no requests: its entry expired during an outage and was written again, so
/// the end of the grace time must not remove the server. A removed server would receive no requests until the next
/// change of its entry.
#[test]
fn an_expired_entry_that_is_written_again_is_kept() {
    let mut pool = pool_of(&[("east-a", 1)]);
    pool.store_returned(at(10_000));
    pool.replace(at(10_000), []);
    pool.apply(at(11_000), entry("east-a-0", "east-a"));
    assert!(pool.expire(at(20_000)).is_empty());
    assert_eq!(pool.servers().count(), 1);
}

/// Guards against requests to a server after its drain time: a server that was draining before a store outage has ended
/// by the time the store is available again, so the server must have no grace time.
#[test]
fn a_draining_server_has_no_grace_time() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let leaving = ServerEntry {
        state: ServerState::Draining,
        sequence: 2,
        ..entry("east-a-0", "east-a")
    };
    pool.apply(at(9_000), leaving);
    pool.store_returned(at(10_000));
    assert_eq!(
        pool.replace(at(10_000), []),
        [Change::Gone(server_id("east-a-0"))]
    );
}

/// Guards against requests to a server that has left without draining first. While the store is available, a removed
/// entry means that the server accepts requests for its drain time only, so instances must stop sending at once.
#[test]
fn a_server_is_removed_with_its_entry_while_the_store_is_available() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let change = pool.remove(at(10_000), &server_id("east-a-0"));
    assert_eq!(change, Some(Change::Gone(server_id("east-a-0"))));
}

/// Guards against requests that are cut off when their server ends: an older write of the server's entry arrives after
/// newer ones, and would make the draining server ready again.
#[test]
fn an_older_entry_does_not_undo_a_drain() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let leaving = ServerEntry {
        state: ServerState::Draining,
        sequence: 5,
        ..entry("east-a-0", "east-a")
    };
    pool.apply(at(1_000), leaving);
    let late = ServerEntry {
        sequence: 4,
        ..entry("east-a-0", "east-a")
    };
    assert_eq!(pool.apply(at(1_100), late), None);
    let server = pool.server(&server_id("east-a-0")).expect("a known server");
    assert_eq!(server.entry.state, ServerState::Draining);
}

/// Guards against full load that crashes a restarted server. The server restarts under its old name and numbers its
/// entries from the start again. If entries were compared by this number alone, the new entry, which reports the
/// warm-up, would be ignored.
#[test]
fn a_server_that_restarts_under_its_name_is_cold() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let restarted = ServerEntry {
        started_unix_ms: 2_000,
        sequence: 0,
        warmup_left_ms: 3_000,
        ..entry("east-a-0", "east-a")
    };
    let change = pool.apply(at(5_000), restarted);
    assert_eq!(change, Some(Change::Restarted(server_id("east-a-0"))));
    let server = pool.server(&server_id("east-a-0")).expect("a known server");
    assert!(server.is_cold(at(7_900)));
    assert!(!server.is_cold(at(8_000)));
}

/// Guards against a warm server that gets only the few requests of a cold one: the whole list of entries is read again,
/// and the server's entry in it was written at the server's start.
#[test]
fn an_entry_that_is_read_again_does_not_make_its_server_cold_again() {
    let mut pool = pool();
    let fresh = ServerEntry {
        warmup_left_ms: 3_000,
        ..entry("s", "east-a")
    };
    pool.apply(at(0), fresh.clone());
    assert_eq!(pool.replace(at(10_000), [fresh]), []);
    let server = pool.server(&server_id("s")).expect("a known server");
    assert!(!server.is_cold(at(10_001)));
}

/// Guards against full load that crashes the servers of a zone when its evacuation ends: they may have restarted during
/// the evacuation, so they count as cold at first.
#[test]
fn servers_of_a_restored_zone_count_as_cold() {
    let mut pool = pool_of(&[("east-a", 1), ("west-a", 1)]);
    pool.set_warmups([(support::service_id(), 3_000)]);
    pool.set_evacuated(at(1_000), BTreeSet::from([zone("east-a")]));
    let evacuated = pool.topology().zone(&zone("east-a"));
    assert!(evacuated.is_some_and(|zone| pool.is_evacuated(zone)));
    let restored = pool.set_evacuated(at(9_000), BTreeSet::new());
    assert_eq!(restored, [zone("east-a")]);
    let is_cold = |name| {
        pool.server(&server_id(name))
            .expect("a known server")
            .is_cold(at(9_100))
    };
    assert!(is_cold("east-a-0"));
    assert!(!is_cold("west-a-0"));
}

/// Records an exchange with server `east-a-0` that starts and ends at `now_ms`.
fn record_exchange(pool: &mut ServerPool, now_ms: u64, end: ExchangeEnd) {
    let mut server = pool
        .server_mut(&server_id("east-a-0"))
        .expect("a known server");
    server.record_sent(at(now_ms), ExchangeId(now_ms), 100.0);
    server.record_end(at(now_ms), ExchangeId(now_ms), end, ServerReport::default());
}

/// Guards against full load on a server that has just crashed: its connection breaks, and a moment later the server
/// runs again, cold and under the same name. It receives no more than a cold server until a probe has reported that it
/// is warm.
#[test]
fn a_server_whose_connection_broke_counts_as_cold_until_a_probe_succeeds() {
    let mut pool = pool_of(&[("east-a", 1)]);
    record_exchange(&mut pool, 1_000, ExchangeEnd::Broken);
    let server = pool.server(&server_id("east-a-0")).expect("a known server");
    assert!(server.is_cold(at(1_001)));
    let probes_due = pool.due_probes(at(1_001), |_| Some("/health".to_owned()));
    assert_eq!(probes_due.len(), 1);
    let healthy = ProbeResult::Healthy { warmup_left_ms: 0 };
    pool.record_probe(at(1_050), &server_id("east-a-0"), healthy);
    let server = pool.server(&server_id("east-a-0")).expect("a known server");
    assert!(!server.is_cold(at(1_051)));
}

/// Guards against requests that are each sent to a wrong server and rejected: the address of a server that ended is
/// assigned to a server of another service. The first such response ends the use of the address, without a recorded
/// failure and without probes.
#[test]
fn an_address_taken_over_by_another_server_is_not_used_again() {
    let mut pool = pool_of(&[("east-a", 1)]);
    record_exchange(&mut pool, 1_000, ExchangeEnd::Misdirected);
    let server = pool.server(&server_id("east-a-0")).expect("a known server");
    assert_eq!(server.liveness, Liveness::Replaced);
    assert!(
        pool.due_probes(at(60_000), |_| Some("/health".to_owned()))
            .is_empty()
    );
}

/// Guards against probes of a down server that are too frequent, which cost more than they gain, or too rare, which
/// leave a recovered server unused. The interval between probes grows to two seconds and no further.
#[test]
fn the_interval_between_probes_of_a_down_server_grows_up_to_a_limit() {
    let mut pool = pool_of(&[("east-a", 1)]);
    record_exchange(&mut pool, 1_000, ExchangeEnd::Unreachable);
    let mut probes = Vec::new();
    for now_ms in (1_000..20_000).step_by(100) {
        let probes_due = pool.due_probes(at(now_ms), |_| Some("/health".to_owned()));
        if !probes_due.is_empty() {
            probes.push(now_ms);
            pool.record_probe(at(now_ms), &server_id("east-a-0"), ProbeResult::NoAnswer);
        }
    }
    let pauses: Vec<u64> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses[0], 800);
    assert!(pauses.iter().all(|pause| *pause <= 2_000));
    assert_eq!(pauses.last(), Some(&2_000));
}

/// Guards against a new server without a region: requests that are restricted to regions would never be sent to it.
#[test]
fn a_new_server_has_the_region_of_its_zone() {
    let mut pool = pool();
    let change = pool.apply(at(0), entry("s", "west-a"));
    assert_eq!(change, Some(Change::Joined(server_id("s"))));
    let region = pool.server(&server_id("s")).and_then(|s| s.region());
    assert_eq!(region.map(ToString::to_string).as_deref(), Some("west"));
}

/// Guards against growing queues. Many instances use a server that always has a queue, and each instance receives a
/// response of the server every second or two. If the reported queue did not count between two responses, every
/// instance would take the server for idle and add to its queue, while the object's other server has free slots.
#[test]
fn a_reported_queue_counts_until_the_next_response() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let busy = ServerReport {
        load: Some(LoadReport {
            running: 6,
            waiting: 6,
            slots: 6,
        }),
        ..ServerReport::default()
    };
    let mut server = pool.server_mut(&server_id("east-a-0")).expect("a server");
    for number in 0..10 {
        let now_ms = 1_000 + number * 2_000;
        server.record_sent(at(now_ms - 300), ExchangeId(number), 100.0);
        server.record_end(at(now_ms), ExchangeId(number), ExchangeEnd::Answered, busy);
        let slots = f64::from(server.entry.slots);
        assert!(server.load(at(now_ms + 1_900)) > slots);
    }
}

const fn load(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: 6,
    }
}

/// Guards against requests that join a queue while the object's other server has free slots. Only one instance of the
/// zone observes the queue. Without its report, the other instances, which each send the server about one request a
/// second, would continue to use the server.
#[test]
fn a_queue_that_one_instance_observes_is_reported_to_its_zone() {
    let mut observer = pool_of(&[("east-a", 2)]);
    let mut receiver = pool_of(&[("east-a", 2)]);
    let mut server = observer
        .server_mut(&server_id("east-a-0"))
        .expect("a server");
    let report = ServerReport {
        load: Some(load(6, 9)),
        ..ServerReport::default()
    };
    server.record_sent(at(800), ExchangeId(1), 100.0);
    server.record_end(at(1_000), ExchangeId(1), ExchangeEnd::Answered, report);
    drop(server);
    let reports = observer.take_server_reports(at(1_100), 8, Some(at(1_100)));
    assert_eq!(reports.len(), 1);
    assert!(
        observer
            .take_server_reports(at(1_200), 8, Some(at(1_200)))
            .is_empty()
    );
    receiver.apply_server_reports(at(1_100), &reports);
    let load_of = |name| {
        receiver
            .server(&server_id(name))
            .map(|one| one.load(at(1_100)))
    };
    assert!(load_of("east-a-0").is_some_and(|load| load > 12.0));
    assert_eq!(load_of("east-a-1"), Some(0.0));
}

/// Guards against a server with free slots that receives no requests because of an old queue: a peer's report of the
/// queue arrives after the server itself has reported a newer load to this instance.
#[test]
fn an_outdated_load_report_of_a_peer_is_ignored() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let mut server = pool.server_mut(&server_id("east-a-0")).expect("a server");
    let free = ServerReport {
        load: Some(load(1, 0)),
        ..ServerReport::default()
    };
    server.record_sent(at(800), ExchangeId(1), 100.0);
    server.record_end(at(1_000), ExchangeId(1), ExchangeEnd::Answered, free);
    drop(server);
    let report = PeerServerReport {
        server: ServerKey::of(&server_id("east-a-0")),
        load: Some(load(6, 9)),
        health: None,
        age_ms: 300,
    };
    pool.apply_server_reports(at(1_200), &[report]);
    let server = pool.server(&server_id("east-a-0")).expect("a server");
    assert!(server.load(at(1_200)) < 2.0);
}

/// Guards against a queue that other instances of the zone still count after its end: if reports were sent only while a
/// server has a queue, other instances would assume the queue until the last report has decayed.
#[test]
fn the_end_of_a_queue_is_reported_once() {
    let mut pool = pool_of(&[("east-a", 1)]);
    for (number, report) in [(1, load(6, 3)), (2, load(4, 0)), (3, load(4, 0))] {
        let mut server = pool.server_mut(&server_id("east-a-0")).expect("a server");
        let now = at(number * 1_000);
        let report = ServerReport {
            load: Some(report),
            ..ServerReport::default()
        };
        server.record_sent(now, ExchangeId(number), 100.0);
        server.record_end(now, ExchangeId(number), ExchangeEnd::Answered, report);
        drop(server);
        assert_eq!(
            pool.take_server_reports(now, 8, Some(now)).len(),
            usize::from(number < 3)
        );
    }
}
