//! Moves popular objects from a zone's servers with many of them to servers with few.
//!
//! An object is the item that a client's request names. A server is faster for the few objects that it has handled last,
//! and consistent hashing gives some servers twice as many objects as others: these run most requests slowly, while
//! others have room. An aggregator, which knows the objects that its zone's clients request, therefore moves single
//! objects to the next servers on their ring. All instances of the zone apply its moves.

use std::collections::{BTreeMap, HashMap, HashSet};

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::placement::PopularityReport;
use crate::placement::sample::RouteKey;
use crate::pool::ServerHandle;

/// Largest number of servers by which an object may be moved along its ring.
pub(super) const MAX_STEPS: usize = 3;
/// Largest number of moves, so that they fit a datagram together with the decisions.
const MAX_MOVES: usize = 128;
/// Largest number of objects that one decision moves; the first request after a move is slow.
const MAX_NEW_MOVES: usize = 12;
/// Time without a request after which an object is forgotten, in milliseconds.
const OBJECT_TIMEOUT_MS: u64 = 20_000;
/// Largest number of objects of one route that are known.
const MAX_OBJECTS: usize = 512;
/// Objects above the average that a server may have before one of them is moved.
const TOLERATED_EXCESS: f64 = 1.0;

/// A popular object that uses another server than the first one of its ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObjectMove {
    /// Lower half of the object's hash.
    pub object: u32,
    /// Number of servers by which the object is moved along its ring.
    pub steps: u8,
}

/// Moves by the lower half of the object's hash.
pub(super) type MovesByObject = HashMap<u32, u8>;

/// The servers of an object in its zone.
#[derive(Debug, Clone)]
pub(super) struct ObjectServers {
    /// Service of the servers.
    pub(super) service: ids::ServiceId,
    /// First servers of the object, in the order of the ring.
    pub(super) ring: Vec<ServerHandle>,
    /// Number of servers of the service in the zone.
    pub(super) servers_in_zone: usize,
}

impl ObjectServers {
    fn server(&self, steps: u8) -> Option<ServerHandle> {
        self.ring.get(usize::from(steps)).copied()
    }
}

/// The objects that a zone's clients request, and the moves that an aggregator has decided.
#[derive(Debug, Default)]
pub(super) struct ObjectMoves {
    seen: BTreeMap<RouteKey, BTreeMap<u64, TimeMs>>,
    /// Steps of the moved objects, by the lower half of the object's hash.
    moves: BTreeMap<u32, u8>,
    /// Time at which the moves of another aggregator were last taken over.
    adopted_at: TimeMs,
}

impl ObjectMoves {
    /// Records the objects of a report of an instance of the zone.
    pub(super) fn record(&mut self, now: TimeMs, report: &PopularityReport) {
        for (route, sample) in report {
            let objects = self.seen.entry(*route).or_default();
            for (object, _) in sample.objects() {
                if objects.len() < MAX_OBJECTS || objects.contains_key(&object) {
                    objects.insert(object, now);
                }
            }
        }
    }

    /// Takes over the active moves, from which this instance continues if it becomes the aggregator.
    pub(super) fn adopt(&mut self, now: TimeMs, moves: &[ObjectMove]) {
        let moves = moves.iter().map(|one| (one.object, one.steps)).collect();
        if self.moves != moves {
            self.moves = moves;
            self.adopted_at = now;
        }
    }

    /// Decides again which objects are moved. `servers_of` returns the servers of an object, or `None` if the object has
    /// no server of its own in this zone.
    pub(super) fn decide(
        &mut self,
        now: TimeMs,
        mut servers_of: impl FnMut(RouteKey, u64) -> Option<ObjectServers>,
    ) -> Vec<ObjectMove> {
        self.forget_unused(now);
        let mut placed = Vec::new();
        for (route, objects) in &self.seen {
            for object in objects.keys() {
                if let Some(servers) = servers_of(*route, *object) {
                    placed.push((*object as u32, servers));
                }
            }
        }
        self.balance(&placed);
        let moves = self.moves.iter();
        moves
            .map(|(object, steps)| ObjectMove {
                object: *object,
                steps: *steps,
            })
            .collect()
    }

    fn forget_unused(&mut self, now: TimeMs) {
        for objects in self.seen.values_mut() {
            objects.retain(|_, seen_at| now.since(*seen_at).get() < OBJECT_TIMEOUT_MS);
        }
        self.seen.retain(|_, objects| !objects.is_empty());
        if now.since(self.adopted_at).get() < OBJECT_TIMEOUT_MS {
            // This instance may not have seen all objects that the other aggregator has.
            return;
        }
        let seen = self.seen.values().flat_map(BTreeMap::keys);
        let seen: HashSet<u32> = seen.map(|object| *object as u32).collect();
        self.moves.retain(|object, _| seen.contains(object));
    }

    /// Moves objects of servers that have too many to the servers of their rings that have fewest.
    fn balance(&mut self, placed: &[(u32, ObjectServers)]) {
        let mut counts: HashMap<ServerHandle, usize> = HashMap::new();
        let mut totals: HashMap<&ids::ServiceId, usize> = HashMap::new();
        for (object, servers) in placed {
            if let Some(server) = self.server_of(*object, servers) {
                *counts.entry(server).or_default() += 1;
                *totals.entry(&servers.service).or_default() += 1;
            }
        }
        let mut new_moves = 0;
        for (object, servers) in placed {
            if new_moves == MAX_NEW_MOVES || self.moves.len() == MAX_MOVES {
                return;
            }
            let Some(from) = self.server_of(*object, servers) else {
                continue;
            };
            let total = totals.get(&servers.service).copied();
            let average = total.unwrap_or_default() as f64 / servers.servers_in_zone.max(1) as f64;
            let count_of = |server: ServerHandle| counts.get(&server).copied().unwrap_or_default();
            if (count_of(from) as f64) <= average + TOLERATED_EXCESS {
                continue;
            }
            let steps = 0..=MAX_STEPS as u8;
            let options = steps.filter_map(|steps| Some((servers.server(steps)?, steps)));
            let least = options.min_by_key(|(server, steps)| (count_of(*server), *steps));
            let Some((to, steps)) = least else {
                continue;
            };
            // With a smaller difference the object would come back at the next decision.
            if count_of(to) + 2 <= count_of(from) {
                *counts.entry(from).or_default() -= 1;
                *counts.entry(to).or_default() += 1;
                if steps > 0 {
                    self.moves.insert(*object, steps);
                } else {
                    self.moves.remove(object);
                }
                new_moves += 1;
            }
        }
    }

    fn server_of(&self, object: u32, servers: &ObjectServers) -> Option<ServerHandle> {
        let steps = self.moves.get(&object).copied().unwrap_or_default();
        servers.server(steps).or_else(|| servers.server(0))
    }
}
