//! Tests of single choices with even load: which server gets a request whose object is warm nowhere, or somewhere.

mod support;

use std::collections::BTreeSet;

use damaskvane_routing::placement::{AnsweredRequest, Choice, Pick, PlacementRequest, Placer};
use damaskvane_routing::pool::{ExchangeEnd, ExchangeId, ServerPool, ServerReport};

use crate::support::{at, configuration, placer, pool_of, route, server_id, service_id};

/// Multiple by which the hashes of consecutive objects differ.
const STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time of a first run, and of a run on a warm server, by the guess from the route's objective.
const FIRST_MS: u64 = 350;
const WARM_MS: u64 = 110;

fn even_placer() -> Placer {
    let mut placer = placer("east-a");
    placer.settings.even_load = true;
    placer
}

fn choose(placer: &mut Placer, pool: &ServerPool, object: Option<u64>, spread: f64) -> Pick {
    let (route, service) = (route(), service_id());
    let request = PlacementRequest {
        object,
        spread,
        ..support::request(&route, &service, 0)
    };
    match placer.choose(at(1_000), pool, &configuration(), &request, 4) {
        Choice::Send(pick) => pick,
        Choice::Refuse(refusal) => panic!("refused: {:?}", refusal.reason),
    }
}

/// Answers requests for `objects`, each after this time.
fn learn(placer: &mut Placer, pool: &mut ServerPool, objects: std::ops::Range<u64>, took_ms: u64) {
    for number in objects {
        let object = number.wrapping_mul(STRIDE);
        let pick = choose(placer, pool, Some(object), 0.5);
        let answered = AnsweredRequest {
            route: &route(),
            pick: &pick,
            object: Some(object),
            bytes: 1_000,
            took_ms,
            has_waited: false,
            time_factor: None,
        };
        placer.record_answer(at(1_000), pool, &answered);
    }
}

fn servers_of(placer: &mut Placer, pool: &ServerPool, object: Option<u64>) -> usize {
    let draws = (0..64).map(|draw| (f64::from(draw) + 0.5) / 64.0);
    let servers: BTreeSet<_> = draws
        .map(|spread| choose(placer, pool, object, spread).server)
        .collect();
    servers.len()
}

/// Guards against a constant belief that an object's first server is warm, and against one that never returns.
#[test]
fn objects_are_spread_only_while_they_do_not_come_back() {
    let (mut placer, mut pool) = (even_placer(), pool_of(&[("east-a", 6)]));
    let new = Some(STRIDE.wrapping_mul(1_000_001));
    assert_eq!(servers_of(&mut placer, &pool, new), 1);
    learn(&mut placer, &mut pool, 1..400, FIRST_MS);
    assert!(servers_of(&mut placer, &pool, new) > 3);
    learn(&mut placer, &mut pool, 1_000..2_000, WARM_MS);
    assert_eq!(servers_of(&mut placer, &pool, new), 1);
}

/// Guards against a first run elsewhere for an object that a server remembers, to save a short wait.
#[test]
fn a_warm_server_keeps_its_object_also_when_busy() {
    let (mut placer, mut pool) = (even_placer(), pool_of(&[("east-a", 6)]));
    learn(&mut placer, &mut pool, 1..400, FIRST_MS);
    let object = STRIDE.wrapping_mul(1_000_001);
    let warm = server_id("east-a-4");
    let mut server = pool.server_mut(&warm).expect("a known server");
    server.record_object(at(999), object);
    for number in 0..5 {
        server.record_sent(at(999), ExchangeId(number), 100.0);
    }
    drop(server);
    for draw in 1..20 {
        let spread = f64::from(draw) / 20.0;
        assert_eq!(
            choose(&mut placer, &pool, Some(object), spread).server,
            warm
        );
    }
}

/// Guards against requests without an object that go to a server whose slots are in use.
#[test]
fn requests_without_an_object_go_where_room_is() {
    let (mut placer, mut pool) = (even_placer(), pool_of(&[("east-a", 6)]));
    for full in ["east-a-1", "east-a-3"] {
        support::fill(&mut pool, full, 5);
    }
    for draw in 1..64 {
        let pick = choose(&mut placer, &pool, None, f64::from(draw) / 64.0);
        assert!(pick.had_room && pick.load < 0.5, "{pick:?}");
    }
    assert_eq!(servers_of(&mut placer, &pool, None), 4);
}

/// Guards against requests that pay for another zone while their own has free slots, or queue in a full zone.
#[test]
fn requests_without_an_object_leave_their_zone_only_if_it_is_full() {
    let (mut placer, mut pool) = (even_placer(), pool_of(&[("east-a", 2), ("east-b", 2)]));
    let mut zones_used = |pool: &ServerPool| {
        let draws = (0..64).map(|draw| (f64::from(draw) + 0.5) / 64.0);
        let picks = draws.map(|spread| choose(&mut placer, pool, None, spread));
        picks
            .map(|pick| pick.zone.to_string())
            .collect::<BTreeSet<_>>()
    };
    assert_eq!(zones_used(&pool), BTreeSet::from(["east-a".to_owned()]));
    support::fill(&mut pool, "east-a-0", 6);
    support::fill(&mut pool, "east-a-1", 6);
    assert_eq!(zones_used(&pool), BTreeSet::from(["east-b".to_owned()]));
}

/// Guards against objects that come back again without being noticed, since none goes to its first server any more.
#[test]
fn some_objects_keep_their_first_server_as_a_sample() {
    let (mut placer, mut pool) = (even_placer(), pool_of(&[("east-a", 6)]));
    learn(&mut placer, &mut pool, 1..400, FIRST_MS);
    let is_kept = |number: &u64| {
        let object = number.wrapping_mul(STRIDE);
        servers_of(&mut placer, &pool, Some(object)) == 1
    };
    assert_eq!((1_000_000..1_000_160).filter(is_kept).count(), 10);
}

/// Guards against a server on a slow machine that gets as many requests as the others.
#[test]
fn a_slow_machine_gets_few_requests() {
    let (mut placer, mut pool) = (even_placer(), pool_of(&[("east-a", 6)]));
    let slow = server_id("east-a-2");
    let mut server = pool.server_mut(&slow).expect("a known server");
    let report = ServerReport {
        time_factor: "250".parse().ok(),
        ..ServerReport::default()
    };
    server.record_sent(at(900), ExchangeId(1), 100.0);
    server.record_end(at(1_000), ExchangeId(1), ExchangeEnd::Answered, report);
    drop(server);
    let draws = (0..120).map(|draw| (f64::from(draw) + 0.5) / 120.0);
    let picks = draws.map(|spread| choose(&mut placer, &pool, None, spread));
    let sent = picks.filter(|pick| pick.server == slow).count();
    assert!(sent <= 4, "{sent} of 120, 20 is an even share");
}

/// Guards against a change of choices while the key is off.
#[test]
fn without_the_key_objects_stay_on_their_first_server() {
    let (mut placer, mut pool) = (placer("east-a"), pool_of(&[("east-a", 6)]));
    let new = Some(STRIDE.wrapping_mul(1_000_001));
    learn(&mut placer, &mut pool, 1..400, FIRST_MS);
    assert_eq!(servers_of(&mut placer, &pool, new), 1);
}
