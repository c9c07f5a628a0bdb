//! Tests of the index that finds the servers of an object while servers join, leave and change.
//!
//! A server's slots are the number of requests that it runs at the same time. A first run is the slow run of a request
//! on a server that has not handled the request's object recently.

mod support;

use damaskvane_core::ids;
use damaskvane_routing::placement::{Choice, PlacementRequest};
use damaskvane_routing::pool::{Liveness, ServerEntry, ServerPool, ServerState};
use rand::{RngExt, SeedableRng};
use support::{at, configuration, entry, placer, pool, pool_of, route, server_id, service_id};

const ZONES: [&str; 3] = ["east-a", "east-b", "west-a"];

/// Returns up to `max_servers` servers of an object in the order in which a request tries them: each is selected with
/// the servers before it as already tried.
fn servers_of(pool: &ServerPool, own_zone: &str, object: u64, max_servers: usize) -> Vec<String> {
    let (route, service) = (route(), service_id());
    let mut placer = placer(own_zone);
    let mut tried: Vec<ids::BackendServerId> = Vec::new();
    while tried.len() < max_servers {
        let request = PlacementRequest {
            tried: &tried,
            ..support::request(&route, &service, object)
        };
        match placer.choose(at(1_000), pool, &configuration(), &request, 1) {
            Choice::Send(pick) => tried.push(pick.server),
            Choice::Refuse(_) => break,
        }
    }
    tried.iter().map(ToString::to_string).collect()
}

/// Applies a random change to a pool: a server joins, leaves, drains, goes down, comes up or changes its slots.
fn change(pool: &mut ServerPool, random: &mut rand_pcg::Pcg32, sequence: u64) {
    let zone = ZONES[random.random_range(0..ZONES.len())];
    let name = format!("{zone}-{}", random.random_range(0..12));
    let now = at(sequence);
    match random.random_range(0..6) {
        0 => drop(pool.remove(now, &server_id(&name))),
        1 => {
            if let Some(mut server) = pool.server_mut(&server_id(&name)) {
                server.liveness = Liveness::down(now);
            }
        }
        2 => {
            if let Some(mut server) = pool.server_mut(&server_id(&name)) {
                server.liveness = Liveness::Up;
            }
        }
        kind => {
            let state = if kind == 3 {
                ServerState::Draining
            } else {
                ServerState::Ready
            };
            let changed = ServerEntry {
                state,
                slots: random.random_range(1..9),
                sequence,
                ..entry(&name, zone)
            };
            pool.apply(now, changed);
        }
    }
}

/// Returns a new pool with the current servers of another pool, added in the reverse order of their names.
fn rebuilt(original: &ServerPool) -> ServerPool {
    let mut fresh = pool();
    let mut entries: Vec<_> = original
        .servers()
        .map(|server| server.entry.clone())
        .collect();
    entries.sort_by(|one, other| other.id.cmp(&one.id));
    for entry in entries {
        let id = entry.id.clone();
        fresh.apply(at(0), entry);
        let liveness = original.server(&id).map(|server| server.liveness);
        if let (Some(mut server), Some(liveness)) = (fresh.server_mut(&id), liveness) {
            server.liveness = liveness;
        }
    }
    fresh
}

/// Guards against an index that differs from a new index of the same servers after many changes: an instance that has
/// run for long would use other servers for an object than an instance that has just started.
#[test]
fn an_index_after_many_changes_equals_a_rebuilt_index() {
    for seed in 0..20 {
        let mut random = rand_pcg::Pcg32::seed_from_u64(seed);
        let mut pool = pool();
        for sequence in 1..200 {
            change(&mut pool, &mut random, sequence);
        }
        let fresh = rebuilt(&pool);
        for object in 0..40 {
            let hash: u64 = random.random();
            let zone = ZONES[object % ZONES.len()];
            let found = servers_of(&pool, zone, hash, 4);
            assert_eq!(found, servers_of(&fresh, zone, hash, 4), "seed {seed}");
        }
    }
}

/// Guards against a new server that makes objects move between the old servers: each such move costs a slow first run.
#[test]
fn a_new_server_takes_objects_and_moves_no_others() {
    let mut random = rand_pcg::Pcg32::seed_from_u64(7);
    let objects: Vec<u64> = (0..2_000).map(|_| random.random()).collect();
    let mut pool = pool_of(&[("east-a", 20)]);
    let first = |pool: &ServerPool, object| servers_of(pool, "east-a", object, 1);
    let before: Vec<_> = objects.iter().map(|object| first(&pool, *object)).collect();
    pool.apply(at(1), entry("east-a-new", "east-a"));
    let mut moved = 0;
    for (object, before) in objects.iter().zip(before) {
        let after = first(&pool, *object);
        if after != before {
            moved += 1;
            assert_eq!(after, ["east-a-new"]);
        }
    }
    let fair = objects.len() / 21;
    assert!(
        (fair / 2..fair * 2).contains(&moved),
        "{moved}, fair {fair}"
    );
}

/// Guards against an order of servers that changes when the first one is removed: instances that have removed a lost
/// first server must select the server that other instances use as the object's second one.
#[test]
fn the_order_of_servers_stays_when_the_first_is_removed() {
    let mut random = rand_pcg::Pcg32::seed_from_u64(11);
    for _ in 0..200 {
        let object = random.random();
        let mut pool = pool_of(&[("east-a", 6)]);
        let order = servers_of(&pool, "east-a", object, 6);
        for (position, server) in order.iter().enumerate() {
            let remaining = servers_of(&pool, "east-a", object, 6 - position);
            assert_eq!(remaining, order[position..]);
            pool.remove(at(1), &server_id(server));
        }
    }
}

/// Guards against servers that are the first server of far more or far fewer objects than their slots can serve.
#[test]
fn servers_get_objects_in_proportion_to_their_slots() {
    let mut random = rand_pcg::Pcg32::seed_from_u64(5);
    let mut pool = pool_of(&[("east-a", 10)]);
    let large_server = ServerEntry {
        slots: 60,
        ..entry("east-a-wide", "east-a")
    };
    pool.apply(at(1), large_server);
    let objects = (0..4_000).map(|_| random.random::<u64>());
    let of_large_server =
        objects.filter(|object| servers_of(&pool, "east-a", *object, 1) == ["east-a-wide"]);
    let share = of_large_server.count() as f64 / 4_000.0;
    assert!((0.4..0.6).contains(&share), "{share}, half of all slots");
}

/// Returns how many of 10,000 objects have each of ten servers as their first one.
fn objects_by_server(id_prefix: &str) -> Vec<usize> {
    let mut pool = pool();
    let names: Vec<_> = (0..10)
        .map(|number| format!("{id_prefix}{number}"))
        .collect();
    for name in &names {
        pool.apply(at(0), entry(name, "east-a"));
    }
    let mut random = rand_pcg::Pcg32::seed_from_u64(1);
    let mut counts = vec![0; names.len()];
    for _ in 0..10_000 {
        let first = servers_of(&pool, "east-a", random.random(), 1).remove(0);
        let position = names.iter().position(|name| *name == first);
        counts[position.expect("one of the servers")] += 1;
    }
    counts
}

/// Guards against servers that share their ring points: with ids of up to three bytes that differ in the last one, some
/// servers were the first of no object and others of a third of all objects.
#[test]
fn servers_with_short_ids_are_each_the_first_of_an_even_share_of_objects() {
    for id_prefix in ["", "l", "l-"] {
        let counts = objects_by_server(id_prefix);
        let is_even = counts.iter().all(|count| (500..=2_000).contains(count));
        assert!(is_even, "ids that begin with {id_prefix:?}: {counts:?}");
    }
}

/// Guards against a change of the ring that moves the objects of running deployments to servers that have not handled
/// them.
#[test]
fn servers_with_longer_ids_keep_their_objects() {
    let counts = [1054, 1086, 1007, 785, 971, 1279, 854, 879, 991, 1094];
    assert_eq!(objects_by_server("l-1-"), counts);
    let counts = [1009, 811, 675, 1003, 1067, 777, 1192, 986, 1097, 1383];
    assert_eq!(objects_by_server("i-9f0cf0580"), counts);
}
