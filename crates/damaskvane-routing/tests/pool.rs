//! What the pool makes of news from the store, of broken connections and of probes.

mod support;

use std::collections::BTreeSet;

use damaskvane_routing::pool::{
    Change, ExchangeEnd, ExchangeId, Liveness, LoadReport, PeerServerReport, ProbeResult,
    ServerEntry, ServerKey, ServerPool, ServerReport, ServerState,
};
use support::{at, entry, pool, pool_of, server_id, zone};

/// While the store is away, servers can't renew their entries and lapse. A pool that believed the first
/// list after the outage would be empty, and every client would be refused although all servers live.
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

/// A server that lapsed during an outage writes its entry again. Its grace must not remove it afterwards,
/// or it would get no requests until its next change.
#[test]
fn a_lapsed_entry_that_comes_back_is_kept() {
    let mut pool = pool_of(&[("east-a", 1)]);
    pool.store_returned(at(10_000));
    pool.replace(at(10_000), []);
    pool.apply(at(11_000), entry("east-a-0", "east-a"));
    assert!(pool.expire(at(20_000)).is_empty());
    assert_eq!(pool.servers().count(), 1);
}

/// A server that said it is draining before the outage has left by the time the store is back. Grace would
/// send it requests after its drain time.
#[test]
fn a_draining_server_gets_no_grace() {
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

/// Without an outage a removed entry is a server that left without a word: it serves for the drain time
/// only, so requests must stop at once.
#[test]
fn an_entry_removed_while_the_store_is_there_is_gone_at_once() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let change = pool.remove(at(10_000), &server_id("east-a-0"));
    assert_eq!(change, Some(Change::Gone(server_id("east-a-0"))));
}

/// A write that was held up on its way lands after later ones. Taken as news, it would make a draining
/// server look ready, and requests would be cut when it ends.
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

/// A server starts again under its old name and counts its entries anew. Compared by count alone, the new
/// start would be ignored and its cold time unknown; the first full load would crash it.
#[test]
fn a_restart_under_the_same_name_is_news_and_cold() {
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

/// Everything is read anew, and an entry that was written at a server's start is read a second time. The server
/// has long been warm, and must not get a cold server's few requests again.
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

/// A zone that was evacuated is taken back, and its servers may have been restarted meanwhile. Their full
/// load at once would crash them, so they count as cold first.
#[test]
fn servers_of_a_zone_that_is_taken_back_count_as_cold() {
    let mut pool = pool_of(&[("east-a", 1), ("west-a", 1)]);
    pool.set_warmups([(support::service_id(), 3_000)]);
    pool.set_evacuated(at(1_000), BTreeSet::from([zone("east-a")]));
    let evacuated = pool.topology().zone(&zone("east-a"));
    assert!(evacuated.is_some_and(|zone| pool.is_evacuated(zone)));
    let taken_back = pool.set_evacuated(at(9_000), BTreeSet::new());
    assert_eq!(taken_back, [zone("east-a")]);
    let is_cold = |name| {
        pool.server(&server_id(name))
            .expect("a known server")
            .is_cold(at(9_100))
    };
    assert!(is_cold("east-a-0"));
    assert!(!is_cold("west-a-0"));
}

fn end(pool: &mut ServerPool, now_ms: u64, end: ExchangeEnd) {
    let mut server = pool
        .server_mut(&server_id("east-a-0"))
        .expect("a known server");
    server.record_sent(at(now_ms), ExchangeId(now_ms), 100.0);
    server.record_end(at(now_ms), ExchangeId(now_ms), end, ServerReport::default());
}

/// A connection breaks because its server crashed and is back within a moment, cold, under the name it had.
/// Until a probe has asked it, it gets only what a cold server bears.
#[test]
fn a_server_whose_connection_broke_counts_as_cold_until_a_probe_asked_it() {
    let mut pool = pool_of(&[("east-a", 1)]);
    end(&mut pool, 1_000, ExchangeEnd::Broken);
    let server = pool.server(&server_id("east-a-0")).expect("a known server");
    assert!(server.is_cold(at(1_001)));
    let due = pool.due_probes(at(1_001), |_| Some("/health".to_owned()));
    assert_eq!(due.len(), 1);
    let healthy = ProbeResult::Healthy { warmup_left_ms: 0 };
    pool.record_probe(at(1_050), &server_id("east-a-0"), healthy);
    let server = pool.server(&server_id("east-a-0")).expect("a known server");
    assert!(!server.is_cold(at(1_051)));
}

/// The address of a server that ended is given to a server of another service. Requests sent on would be
/// turned away one by one, so the first such answer ends it, without blame and without probes.
#[test]
fn an_address_that_another_server_has_is_not_used_again() {
    let mut pool = pool_of(&[("east-a", 1)]);
    end(&mut pool, 1_000, ExchangeEnd::Misdirected);
    let server = pool.server(&server_id("east-a-0")).expect("a known server");
    assert_eq!(server.liveness, Liveness::Replaced);
    assert!(
        pool.due_probes(at(60_000), |_| Some("/health".to_owned()))
            .is_empty()
    );
}

/// A server is down for some seconds. Probes in quick succession would cost more than they bring, rare ones
/// leave a server that is back unused: the pause grows to two seconds and no further.
#[test]
fn probes_of_a_server_that_is_down_grow_rarer_up_to_a_bound() {
    let mut pool = pool_of(&[("east-a", 1)]);
    end(&mut pool, 1_000, ExchangeEnd::Unreachable);
    let mut probes = Vec::new();
    for now_ms in (1_000..20_000).step_by(100) {
        let due = pool.due_probes(at(now_ms), |_| Some("/health".to_owned()));
        if !due.is_empty() {
            probes.push(now_ms);
            pool.record_probe(at(now_ms), &server_id("east-a-0"), ProbeResult::NoAnswer);
        }
    }
    let pauses: Vec<u64> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses[0], 800);
    assert!(pauses.iter().all(|pause| *pause <= 2_000));
    assert_eq!(pauses.last(), Some(&2_000));
}

/// A new server must be known with its zone's region, or requests bound to regions would never reach it.
#[test]
fn a_joined_server_knows_its_region() {
    let mut pool = pool();
    let change = pool.apply(at(0), entry("s", "west-a"));
    assert_eq!(change, Some(Change::Joined(server_id("s"))));
    let region = pool.server(&server_id("s")).and_then(|s| s.region());
    assert_eq!(region.map(ToString::to_string).as_deref(), Some("west"));
}

/// Many instances share a server that always has a queue, and each hears of it every second or two. Were its
/// queue forgotten between two answers, every instance would take it for idle and make the queue grow, while the
/// object's other server has free slots.
#[test]
fn a_queue_is_remembered_between_rare_answers() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let busy = ServerReport {
        load: Some(LoadReport {
            running: 6,
            waiting: 6,
            slots: 6,
        }),
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

/// A queue builds up at a server, and one instance of the zone sees it. The others, which ask the server about
/// once a second, would go on sending there, while the object's other server has free slots.
#[test]
fn a_queue_that_one_instance_sees_is_known_to_the_zone() {
    let mut seeing = pool_of(&[("east-a", 2)]);
    let mut hearing = pool_of(&[("east-a", 2)]);
    let mut server = seeing.server_mut(&server_id("east-a-0")).expect("a server");
    let report = ServerReport {
        load: Some(load(6, 9)),
    };
    server.record_sent(at(800), ExchangeId(1), 100.0);
    server.record_end(at(1_000), ExchangeId(1), ExchangeEnd::Answered, report);
    drop(server);
    let told = seeing.take_server_reports(at(1_100), 8);
    assert_eq!(told.len(), 1);
    assert!(seeing.take_server_reports(at(1_200), 8).is_empty());
    hearing.apply_server_reports(at(1_100), &told);
    let load_of = |name| {
        hearing
            .server(&server_id(name))
            .map(|one| one.load(at(1_100)))
    };
    assert!(load_of("east-a-0").is_some_and(|load| load > 12.0));
    assert_eq!(load_of("east-a-1"), Some(0.0));
}

/// A word on a server's load arrives late. What the instance has heard from the server itself since is newer; an
/// old queue must not keep it from a server that is free again.
#[test]
fn an_older_word_on_a_load_changes_nothing() {
    let mut pool = pool_of(&[("east-a", 1)]);
    let mut server = pool.server_mut(&server_id("east-a-0")).expect("a server");
    let free = ServerReport {
        load: Some(load(1, 0)),
    };
    server.record_sent(at(800), ExchangeId(1), 100.0);
    server.record_end(at(1_000), ExchangeId(1), ExchangeEnd::Answered, free);
    drop(server);
    let told = PeerServerReport {
        server: ServerKey::of(&server_id("east-a-0")),
        load: Some(load(6, 9)),
        health: None,
        age_ms: 300,
    };
    pool.apply_server_reports(at(1_200), &[told]);
    let server = pool.server(&server_id("east-a-0")).expect("a server");
    assert!(server.load(at(1_200)) < 2.0);
}

/// A queue has gone. Were only queues told, the zone would believe in it until its word has faded.
#[test]
fn the_zone_hears_once_that_a_queue_has_gone() {
    let mut pool = pool_of(&[("east-a", 1)]);
    for (number, report) in [(1, load(6, 3)), (2, load(4, 0)), (3, load(4, 0))] {
        let mut server = pool.server_mut(&server_id("east-a-0")).expect("a server");
        let now = at(number * 1_000);
        let report = ServerReport { load: Some(report) };
        server.record_sent(now, ExchangeId(number), 100.0);
        server.record_end(now, ExchangeId(number), ExchangeEnd::Answered, report);
        drop(server);
        assert_eq!(
            pool.take_server_reports(now, 8).len(),
            usize::from(number < 3)
        );
    }
}
