//! Pools: the decision code of the gateway, one pool a zone and team, with loans between zones.

use std::collections::{BTreeMap, HashMap};

use damaskvane_core::time::TimeMs;
use damaskvane_routing::quota::{MOST_URGENT, TokenPools};
use damaskvane_routing::teams::{Quota, TeamKey};
use rand_pcg::Pcg64Mcg;

use crate::quotas::case::{Case, ZONES};
use crate::quotas::network::Network;
use crate::quotas::way::{Asked, Decided, Way};

/// Bytes of a request for tokens with its reply.
const EXCHANGE_BYTES: u64 = 36;
/// Instances of a zone among which its pools are divided.
const HOLDERS: usize = 8;
/// Time after which a round of borrowing ends, and until the next one if it brought too little.
const ROUND_MS: u64 = 100;
const BACKOFF_MS: u64 = 250;

#[derive(Debug, Clone, Copy)]
enum Message {
    Ask {
        round: u64,
        from: usize,
        to: usize,
        team: usize,
        tokens: f64,
        quota: Quota,
    },
    Lent {
        round: u64,
        to: usize,
        team: usize,
        tokens: f64,
        quota: Quota,
    },
}

#[derive(Debug)]
struct Round {
    number: u64,
    ends_ms: u64,
    quota: Quota,
    reserved: f64,
    received: f64,
    replies: usize,
    waiting: Vec<Asked>,
}

#[derive(Debug)]
pub(super) struct Pools {
    instances: usize,
    network: Network<Message>,
    /// Pools by zone and rank of their holder.
    held: BTreeMap<(usize, usize), TokenPools>,
    rounds: HashMap<(usize, usize), Round>,
    backoff_until: HashMap<(usize, usize), u64>,
    last_round: u64,
}

const fn rank(team: usize) -> usize {
    team % HOLDERS
}

impl Pools {
    pub(super) fn new(case: &Case) -> Self {
        let new = || TokenPools::new(Case::bound(ZONES), TimeMs::ZERO);
        let ranks = (0..ZONES).flat_map(|zone| (0..HOLDERS).map(move |rank| (zone, rank)));
        Self {
            instances: case.instances,
            network: Network::new(case),
            held: ranks.map(|key| (key, new())).collect(),
            rounds: HashMap::new(),
            backoff_until: HashMap::new(),
            last_round: 0,
        }
    }

    fn pools(&mut self, zone: usize, team: usize) -> &mut TokenPools {
        let new = || TokenPools::new(Case::bound(ZONES), TimeMs::ZERO);
        self.held.entry((zone, rank(team))).or_insert_with(new)
    }

    fn take(&mut self, now_ms: u64, asked: &Asked) -> bool {
        let pools = self.pools(asked.zone, asked.team);
        let team = TeamKey(asked.team as u64);
        pools
            .take(TimeMs::new(now_ms), team, asked.quota, MOST_URGENT)
            .is_ok()
    }

    fn start_round(&mut self, random: &mut Pcg64Mcg, now_ms: u64, asked: Asked) {
        let (zone, team) = (asked.zone, asked.team);
        let now = TimeMs::new(now_ms);
        let pools = self.pools(zone, team);
        let each = pools.reserve(
            now,
            TeamKey(team as u64),
            asked.quota,
            ZONES - 1,
            MOST_URGENT,
        );
        self.last_round += 1;
        let round = self.last_round;
        for to in (0..ZONES).filter(|to| *to != zone) {
            let message = Message::Ask {
                round,
                from: zone,
                to,
                team,
                tokens: each,
                quota: asked.quota,
            };
            self.network
                .send(random, now_ms, (zone, to), EXCHANGE_BYTES / 2, message);
        }
        let round = Round {
            number: round,
            ends_ms: now_ms + ROUND_MS,
            quota: asked.quota,
            reserved: each * (ZONES - 1) as f64,
            received: 0.0,
            replies: 0,
            waiting: vec![asked],
        };
        self.rounds.insert((zone, team), round);
    }

    fn receive(
        &mut self,
        now_ms: u64,
        to: usize,
        team: usize,
        round: u64,
        tokens: f64,
        quota: Quota,
    ) -> Vec<Decided> {
        let Some(running) = self.rounds.get_mut(&(to, team)) else {
            return Vec::new();
        };
        if running.number != round {
            return Vec::new();
        }
        running.received += tokens;
        running.replies += 1;
        let waiting = core::mem::take(&mut running.waiting);
        let pools = self.pools(to, team);
        pools.receive(TimeMs::new(now_ms), TeamKey(team as u64), quota, tokens);
        let mut decided = Vec::new();
        let mut left = Vec::new();
        for asked in waiting {
            if self.take(now_ms, &asked) {
                decided.push(decision(&asked, true));
            } else {
                left.push(asked);
            }
        }
        if let Some(running) = self.rounds.get_mut(&(to, team)) {
            running.waiting = left;
            if running.replies == ZONES - 1 {
                running.ends_ms = now_ms;
            }
        }
        decided
    }

    fn end_rounds(&mut self, now_ms: u64) -> Vec<Decided> {
        let ended: Vec<_> = self
            .rounds
            .extract_if(|_, round| round.ends_ms <= now_ms)
            .collect();
        let mut decided = Vec::new();
        for ((zone, team), round) in ended {
            let pools = self.pools(zone, team);
            pools.release(TeamKey(team as u64), round.reserved - round.received);
            if round.received < 1.0 {
                self.backoff_until.insert((zone, team), now_ms + BACKOFF_MS);
            }
            let _ = round.quota;
            decided.extend(round.waiting.iter().map(|asked| decision(asked, false)));
        }
        decided
    }
}

const fn decision(asked: &Asked, is_admitted: bool) -> Decided {
    Decided {
        number: asked.number,
        team: asked.team,
        is_admitted,
    }
}

impl Way for Pools {
    fn ask(&mut self, random: &mut Pcg64Mcg, now_ms: u64, asked: Asked) -> Option<Decided> {
        self.network.count_in_zone(EXCHANGE_BYTES);
        let now = TimeMs::new(now_ms);
        let key = (asked.zone, asked.team);
        let pools = self.pools(asked.zone, asked.team);
        pools.record_demand(now, TeamKey(asked.team as u64), asked.quota);
        if self.take(now_ms, &asked) {
            return Some(decision(&asked, true));
        }
        if let Some(round) = self.rounds.get_mut(&key) {
            round.waiting.push(asked);
            return None;
        }
        if self
            .backoff_until
            .get(&key)
            .is_some_and(|until| now_ms < *until)
        {
            return Some(decision(&asked, false));
        }
        self.start_round(random, now_ms, asked);
        None
    }

    fn advance(&mut self, random: &mut Pcg64Mcg, now_ms: u64) -> Vec<Decided> {
        let mut decided = Vec::new();
        while let Some(message) = self.network.arrived(now_ms) {
            match message {
                Message::Ask {
                    round,
                    from,
                    to,
                    team,
                    tokens,
                    quota,
                } => {
                    let pools = self.pools(to, team);
                    let now = TimeMs::new(now_ms);
                    let tokens = pools.lend(now, TeamKey(team as u64), quota, tokens);
                    let reply = Message::Lent {
                        round,
                        to: from,
                        team,
                        tokens,
                        quota,
                    };
                    self.network
                        .send(random, now_ms, (to, from), EXCHANGE_BYTES / 2, reply);
                }
                Message::Lent {
                    round,
                    to,
                    team,
                    tokens,
                    quota,
                } => {
                    decided.extend(self.receive(now_ms, to, team, round, tokens, quota));
                }
            }
        }
        decided.extend(self.end_rounds(now_ms));
        decided
    }

    fn restart(&mut self, now_ms: u64, instance: usize) {
        let (zone, rank) = (instance % ZONES, instance / ZONES);
        if rank < HOLDERS {
            let pools = TokenPools::new(Case::bound(ZONES), TimeMs::new(now_ms));
            self.held.insert((zone, rank), pools);
            self.rounds
                .retain(|(of, team), _| *of != zone || self::rank(*team) != rank);
        }
        debug_assert!(instance < self.instances);
    }

    fn bytes(&self) -> (u64, u64) {
        (self.network.bytes, self.network.bytes_between_zones)
    }
}
