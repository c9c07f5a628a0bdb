//! Random histories of partitions and dead servers, in which an instance must find out in time what is the case.
//!
//! `DAMASKVANE_SEEDS=100000 cargo test --release -p damaskvane-routing --test reachability_histories` runs more of them.

mod support;

use std::collections::BTreeMap;

use damaskvane_core::ids;
use damaskvane_routing::reachability::{
    Check, ConnectFailure, Reach, Reachability, ReachabilitySettings,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{at, server_id};

const SERVERS: usize = 8;
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 30_000;
/// Time in which a connection that hangs is given up.
const OPEN_TIMEOUT_MS: u64 = 400;
/// Time after which a request without an answer is overdue.
const OVERDUE_MS: u64 = 300;
/// Time in which a partition must be found out, and in which its end must.
const BOUND_MS: u64 = 2_000;
const DEFAULT_SEEDS: u64 = 300;

/// What happens to the connections of a partitioned instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Connections {
    Live,
    Hang,
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Partition {
    from_ms: u64,
    to_ms: u64,
    new: Connections,
    old: Connections,
}

/// An event that a request or check causes later.
#[derive(Debug, Clone)]
enum Later {
    OpenFailed(usize, ConnectFailure),
    Unanswered(usize, u64),
}

/// An instance, its servers and what happens between them.
struct World {
    random: Pcg64Mcg,
    reach: Reachability,
    partitions: Vec<Partition>,
    /// For each server the times between which it is dead.
    dead: Vec<(u64, u64)>,
    later: BTreeMap<u64, Vec<Later>>,
    doubted_at: Option<u64>,
    /// How long it took to find out each partition, in milliseconds.
    found_after_ms: BTreeMap<u64, u64>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut partitions = Vec::new();
        let mut from_ms = 3_000;
        while from_ms < LENGTH_MS - 8_000 {
            let to_ms = from_ms + random.random_range(1_000..7_000);
            let olds = [Connections::Live, Connections::Hang, Connections::Refused];
            partitions.push(Partition {
                from_ms,
                to_ms,
                new: olds[random.random_range(1..3)],
                old: olds[random.random_range(0..3)],
            });
            from_ms = to_ms + random.random_range(500..6_000);
        }
        let dead = (0..SERVERS).map(|number| {
            // Two servers live all the time, so that the fleet can serve.
            if number < 2 || random.random_range(0..3) > 0 {
                return (0, 0);
            }
            let from_ms = random.random_range(0..LENGTH_MS);
            (from_ms, from_ms + random.random_range(500..10_000))
        });
        let dead = dead.collect();
        Self {
            random,
            reach: Reachability::new(ReachabilitySettings::default()),
            partitions,
            dead,
            later: BTreeMap::new(),
            doubted_at: None,
            found_after_ms: BTreeMap::new(),
        }
    }

    fn partition_at(&self, now_ms: u64) -> Option<Partition> {
        let mut partitions = self.partitions.iter();
        let is_now = |one: &&Partition| one.from_ms <= now_ms && now_ms < one.to_ms;
        partitions.find(is_now).copied()
    }

    fn is_alive(&self, server: usize, now_ms: u64) -> bool {
        let (from_ms, to_ms) = self.dead[server];
        !(from_ms <= now_ms && now_ms < to_ms)
    }

    fn id(server: usize) -> ids::BackendServerId {
        server_id(&format!("s-{server}"))
    }

    fn step(&mut self, now_ms: u64) {
        for due in self.later.remove(&now_ms).unwrap_or_default() {
            match due {
                Later::OpenFailed(server, kind) => {
                    let id = Self::id(server);
                    self.reach.record_open_failed(at(now_ms), &id, kind);
                }
                Later::Unanswered(server, sent_ms) => {
                    let id = Self::id(server);
                    self.reach.record_unanswered(at(now_ms), &id, at(sent_ms));
                }
            }
        }
        if self.random.random_range(0..100) < 40 {
            let server = self.random.random_range(0..SERVERS);
            self.request(server, now_ms);
        }
        let servers: Vec<_> = (0..SERVERS).map(Self::id).collect();
        match self.reach.take_due_check(at(now_ms), servers.iter()) {
            Some(Check::Control) => {
                let control = self.random.random_range(0..SERVERS);
                self.open(control, now_ms);
            }
            Some(Check::Doubt(servers)) => {
                let control = self.random.random_range(0..SERVERS);
                self.open(control, now_ms);
                for (id, kind) in servers {
                    self.check_through_peer(&id, kind, now_ms);
                }
            }
            Some(Check::Return(servers)) => {
                for id in servers {
                    self.open(number_of(&id), now_ms);
                }
            }
            None => {}
        }
    }

    fn request(&mut self, server: usize, now_ms: u64) {
        if self.reach.needs_tunnel(&Self::id(server)) {
            return;
        }
        if self.random.random_range(0..4) == 0 {
            self.open(server, now_ms);
            return;
        }
        let partition = self.partition_at(now_ms);
        let old = partition.map_or(Connections::Live, |one| one.old);
        match old {
            Connections::Live if self.is_alive(server, now_ms) => {
                self.reach.record_answered(at(now_ms));
            }
            Connections::Hang => self.at(now_ms + OVERDUE_MS, Later::Unanswered(server, now_ms)),
            // Broken connections are followed by a probe, which opens another.
            Connections::Live | Connections::Refused => {
                self.open(server, now_ms);
            }
        }
    }

    /// Opens a connection without a tunnel; returns whether it opened.
    fn open(&mut self, server: usize, now_ms: u64) -> bool {
        let partition = self.partition_at(now_ms);
        let is_dead = !self.is_alive(server, now_ms);
        let new = partition.map_or(Connections::Live, |one| one.new);
        match new {
            Connections::Live if !is_dead => {
                self.reach.record_opened(at(now_ms), &Self::id(server));
                return true;
            }
            Connections::Hang => {
                let failure = Later::OpenFailed(server, ConnectFailure::NoAnswer);
                self.at(now_ms + OPEN_TIMEOUT_MS, failure);
            }
            Connections::Live | Connections::Refused => {
                let failure = Later::OpenFailed(server, ConnectFailure::Refused);
                self.at(now_ms + STEP_MS, failure);
            }
        }
        false
    }

    fn check_through_peer(&mut self, id: &ids::BackendServerId, kind: ConnectFailure, now_ms: u64) {
        let server = number_of(id);
        if kind == ConnectFailure::Silent && self.open(server, now_ms) {
            return;
        }
        if self.is_alive(server, now_ms) {
            self.reach.record_opened_by_peer(at(now_ms), id);
        }
    }

    fn at(&mut self, at_ms: u64, later: Later) {
        self.later.entry(at_ms).or_default().push(later);
    }

    /// Returns how long the present state of the connections has lasted, and whether they are partitioned.
    fn state_since(&self, now_ms: u64) -> (bool, u64) {
        if let Some(partition) = self.partition_at(now_ms) {
            return (true, now_ms - partition.from_ms);
        }
        let ends = self.partitions.iter().map(|one| one.to_ms);
        let last_end = ends.filter(|end_ms| *end_ms <= now_ms).max();
        (false, now_ms - last_end.unwrap_or(0))
    }

    fn check(&mut self, seed: u64, now_ms: u64) {
        let (is_partitioned, lasted_ms) = self.state_since(now_ms);
        let reach = self.reach.reach();
        if is_partitioned && reach == Reach::Partitioned {
            let began_ms = now_ms - lasted_ms;
            self.found_after_ms.entry(began_ms).or_insert(lasted_ms);
        }
        if is_partitioned && lasted_ms > BOUND_MS {
            assert_eq!(
                reach,
                Reach::Partitioned,
                "seed {seed}, {now_ms} ms: not found out after {lasted_ms} ms, {:?}",
                self.partition_at(now_ms)
            );
        }
        if !is_partitioned && lasted_ms > BOUND_MS {
            let wrong_for_ms = self.wrong_for_ms(reach == Reach::Partitioned, now_ms);
            assert!(
                wrong_for_ms <= BOUND_MS,
                "seed {seed}, {now_ms} ms: partitioned for {wrong_for_ms} ms"
            );
        }
        let is_hidden = is_partitioned && lasted_ms > BOUND_MS;
        assert!(
            !(is_hidden && self.reach.blame_until().is_some()),
            "seed {seed}, {now_ms} ms: servers are blamed"
        );
    }

    fn wrong_for_ms(&mut self, is_wrong: bool, now_ms: u64) -> u64 {
        if !is_wrong {
            self.doubted_at = None;
            return 0;
        }
        now_ms - *self.doubted_at.get_or_insert(now_ms)
    }
}

fn number_of(id: &ids::BackendServerId) -> usize {
    let number = id.as_str().strip_prefix("s-");
    number
        .and_then(|number| number.parse().ok())
        .expect("a server's number")
}

/// Guards against partitions that are found out late or not at all, however connections fail, beside servers that die,
/// several times in series, and against one that is seen where there is none.
#[test]
fn partitions_are_found_out_in_time_and_so_is_their_end() {
    let seeds = std::env::var("DAMASKVANE_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok());
    let mut found_after_ms = Vec::new();
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        let mut world = World::new(seed);
        for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            world.step(now_ms);
            world.check(seed, now_ms);
        }
        found_after_ms.extend(world.found_after_ms.into_values());
    }
    found_after_ms.sort_unstable();
    let quantile =
        |share: f64| found_after_ms[((found_after_ms.len() - 1) as f64 * share) as usize];
    println!(
        "{} partitions, found out after {} ms in the median, {} ms in 99 of 100, {} ms at most",
        found_after_ms.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
}
