//! Tests of the moves that spread a zone's popular objects evenly over its servers.
//!
//! A server is faster for the few objects that it has handled last.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::ids;
use damaskvane_routing::placement::{self, Choice, ObjectMove, Placer};
use damaskvane_routing::pool::{ServerPool, ServerState};
use support::{at, configuration, entry, placer, pool, pool_of, route, service_id};

const OBJECTS: u64 = 120;
const SERVERS: usize = 20;
/// Decisions until all objects are popular and the moves have come to rest.
const DECISIONS: u64 = 30;

fn hash_of(number: u64) -> u64 {
    placement::object_hash(&service_id(), "look", &number.to_string())
}

/// The first aggregator of a zone, and the second one, which receives the first one's decisions.
struct Zone {
    aggregator: Placer,
    other: Placer,
    pool: ServerPool,
    now_ms: u64,
}

impl Zone {
    fn new() -> Self {
        Self::with_servers(SERVERS)
    }

    fn with_servers(count: usize) -> Self {
        Self {
            aggregator: placer("east-a"),
            other: placer("east-a"),
            pool: pool_of(&[("east-a", count), ("east-b", count)]),
            now_ms: 0,
        }
    }

    /// Runs a second in which clients request each object twice; returns the moves that were decided at its end.
    fn run_second(&mut self) -> Vec<ObjectMove> {
        self.now_ms += 1_000;
        let now = at(self.now_ms);
        for number in 0..2 * OBJECTS {
            let object = hash_of(number % OBJECTS);
            self.aggregator.record_object_request(&route(), object);
            if number % 10 == 9 {
                let report = self.aggregator.take_popularity_report();
                self.aggregator.apply_popularity_report(now, &report);
                self.other.apply_popularity_report(now, &report);
            }
        }
        let decisions = self.aggregator.decide_popularity(now, pool().topology());
        self.other.decide_popularity(now, pool().topology());
        let configuration = configuration();
        let moves = self
            .aggregator
            .decide_object_moves(now, &self.pool, &configuration);
        let by: ids::InstanceId = "east-a-1".parse().expect("a name");
        for placer in [&mut self.aggregator, &mut self.other] {
            placer.apply_popularity_decisions(now, &by, &decisions, &moves);
        }
        moves
    }

    fn run(&mut self) {
        for _ in 0..DECISIONS {
            self.run_second();
        }
    }

    /// Returns the server of each object as the second aggregator chooses it.
    fn servers(&mut self) -> BTreeMap<u64, String> {
        let (route, service) = (route(), service_id());
        let now = at(self.now_ms);
        let server_of = |number| {
            let request = support::request(&route, &service, hash_of(number));
            let choice = self
                .other
                .choose(now, &self.pool, &configuration(), &request, 1);
            match choice {
                Choice::Send(pick) => (number, pick.server.to_string()),
                Choice::Refuse(refusal) => panic!("refused: {:?}", refusal.reason),
            }
        };
        (0..OBJECTS).map(server_of).collect()
    }

    /// Returns the largest number of objects that use one server of the zone, and the average number.
    fn most_and_average(&mut self) -> (usize, f64) {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for server in self.servers().into_values() {
            if server.starts_with("east-a") {
                *counts.entry(server).or_default() += 1;
            }
        }
        let most = counts.values().copied().max().unwrap_or_default();
        (most, counts.values().sum::<usize>() as f64 / SERVERS as f64)
    }
}

/// Guards against servers with twice as many objects as others, which run most requests slowly.
#[test]
fn popular_objects_spread_evenly_over_the_servers_of_a_zone() {
    let mut zone = Zone::new();
    zone.run();
    let (most, average) = zone.most_and_average();
    assert!(average > 3.0, "{average}");
    assert!(most as f64 <= average + 2.0, "{most} of {average}");
}

/// Guards against moves that never come to rest: each moved object costs a slow request.
#[test]
fn moves_come_to_rest() {
    for servers in 4..30 {
        let mut zone = Zone::with_servers(servers);
        zone.run();
        let moves = zone.run_second();
        for _ in 0..3 {
            assert_eq!(zone.run_second(), moves, "{servers} servers");
        }
    }
}

/// Guards against a server that leaves and takes the objects of other servers along.
#[test]
fn a_server_that_leaves_moves_few_objects_of_other_servers() {
    let mut zone = Zone::new();
    zone.run();
    let before = zone.servers();
    let leaving = "east-a-3";
    let mut left = entry(leaving, "east-a");
    left.state = ServerState::Draining;
    left.sequence = 2;
    zone.pool.apply(at(zone.now_ms), left);
    zone.run();
    let after = zone.servers();
    let others = before.iter().filter(|(_, server)| *server != leaving);
    let moved = others.filter(|(number, server)| after.get(number) != Some(server));
    assert!(moved.count() <= 2 * OBJECTS as usize / SERVERS);
}

/// Guards against an aggregator that begins without its predecessor's moves: all moved objects would go back.
#[test]
fn a_new_aggregator_continues_with_the_moves_that_it_received() {
    let mut zone = Zone::new();
    zone.run();
    let before = zone.servers();
    core::mem::swap(&mut zone.aggregator, &mut zone.other);
    zone.run_second();
    assert_eq!(zone.servers(), before);
}

/// Guards against objects that use more than their two servers while their zone is evacuated: each further server costs a
/// slow request.
#[test]
fn moved_objects_use_two_servers_while_their_zone_is_evacuated() {
    let mut zone = Zone::new();
    zone.run();
    let moves = zone.run_second();
    assert!(!moves.is_empty());
    let now = at(zone.now_ms);
    let evacuated = BTreeSet::from([support::zone("east-a")]);
    zone.pool.set_evacuated(now, evacuated);
    let (route, service) = (route(), service_id());
    for number in 0..OBJECTS {
        let request = support::request(&route, &service, hash_of(number));
        let mut used = Vec::new();
        while let Choice::Send(pick) =
            zone.other
                .choose(now, &zone.pool, &configuration(), &request, 1)
        {
            support::fill(&mut zone.pool, pick.server.as_str(), 20);
            used.push(pick.server);
        }
        assert!(used.len() <= 2, "{used:?}");
        for server in used {
            support::release(&mut zone.pool, server.as_str(), 20);
        }
    }
}
