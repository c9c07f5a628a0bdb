//! The servers of an object are found by an index that follows servers as they come, go and change.

mod support;

use damaskvane_core::ids;
use damaskvane_routing::placement::{Choice, PlacementRequest};
use damaskvane_routing::pool::{Liveness, ServerEntry, ServerPool, ServerState};
use rand::{RngExt, SeedableRng};
use support::{at, configuration, entry, placer, pool, pool_of, route, server_id, service_id};

const ZONES: [&str; 3] = ["east-a", "east-b", "west-a"];

/// The first servers of an object, each found with those before it tried.
fn servers_of(pool: &ServerPool, own_zone: &str, object: u64, most: usize) -> Vec<String> {
    let (route, service) = (route(), service_id());
    let mut placer = placer(own_zone);
    let mut tried: Vec<ids::BackendServerId> = Vec::new();
    while tried.len() < most {
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

/// One change of a pool: a server joins, leaves, drains, is lost or found again, or has more slots.
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

/// A pool that holds what another one holds, learned at once.
fn learned_at_once(known: &ServerPool) -> ServerPool {
    let mut fresh = pool();
    let mut entries: Vec<_> = known.servers().map(|server| server.entry.clone()).collect();
    entries.sort_by(|one, other| other.id.cmp(&one.id));
    for entry in entries {
        let id = entry.id.clone();
        fresh.apply(at(0), entry);
        let liveness = known.server(&id).map(|server| server.liveness);
        if let (Some(mut server), Some(liveness)) = (fresh.server_mut(&id), liveness) {
            server.liveness = liveness;
        }
    }
    fresh
}

/// Guards against an index that drifts from the servers it stands for: an instance that has run for long would use
/// other servers for an object than one that has just started.
#[test]
fn an_index_that_followed_many_changes_is_that_of_a_new_start() {
    for seed in 0..20 {
        let mut random = rand_pcg::Pcg32::seed_from_u64(seed);
        let mut pool = pool();
        for sequence in 1..200 {
            change(&mut pool, &mut random, sequence);
        }
        let fresh = learned_at_once(&pool);
        for object in 0..40 {
            let hash: u64 = random.random();
            let zone = ZONES[object % ZONES.len()];
            let kept = servers_of(&pool, zone, hash, 4);
            assert_eq!(kept, servers_of(&fresh, zone, hash, 4), "seed {seed}");
        }
    }
}

/// Guards against objects that change their server when another one joins: each such object is a slow run.
#[test]
fn a_server_that_joins_takes_objects_and_moves_no_others() {
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

/// Guards against a second server that depends on how it is looked for: with the first one lost, instances that know
/// so must find the server that others use as the object's second one.
#[test]
fn the_next_server_is_the_one_that_is_first_without_those_before_it() {
    let mut random = rand_pcg::Pcg32::seed_from_u64(11);
    for _ in 0..200 {
        let object = random.random();
        let mut pool = pool_of(&[("east-a", 6)]);
        let order = servers_of(&pool, "east-a", object, 6);
        for (place, server) in order.iter().enumerate() {
            let left = servers_of(&pool, "east-a", object, 6 - place);
            assert_eq!(left, order[place..]);
            pool.remove(at(1), &server_id(server));
        }
    }
}

/// Guards against servers that get far more or less than their slots bear.
#[test]
fn servers_get_objects_in_proportion_to_their_slots() {
    let mut random = rand_pcg::Pcg32::seed_from_u64(5);
    let mut pool = pool_of(&[("east-a", 10)]);
    let wide = ServerEntry {
        slots: 60,
        ..entry("east-a-wide", "east-a")
    };
    pool.apply(at(1), wide);
    let objects = (0..4_000).map(|_| random.random::<u64>());
    let of_wide =
        objects.filter(|object| servers_of(&pool, "east-a", *object, 1) == ["east-a-wide"]);
    let share = of_wide.count() as f64 / 4_000.0;
    assert!((0.4..0.6).contains(&share), "{share}, half of all slots");
}
