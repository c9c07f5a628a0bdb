//! Two teams of one limit, whose requests arrive in waves at the pools of six zones.

use core::fmt;
use std::collections::VecDeque;

use damaskvane_core::time::TimeMs;
use damaskvane_routing::quota::{QuotaSettings, TokenPools};
use damaskvane_routing::teams::{Quota, TeamKey};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ZONES: usize = 6;
const QUOTA: Quota = Quota {
    rate_per_s: 98.0,
    burst: 98.0,
};
/// Period of the waves in which the zones take turns at their peaks.
const WAVE_MS: f64 = 8_000.0;
/// Time that pools have to fill before the load begins.
const START_MS: u64 = 10_000;
/// Time after the beginning of the load in which saved bursts are used up; it isn't counted.
const SETTLE_MS: u64 = 11_000;
/// Longest time of a round of borrowing, and time until the next one if it brought too little.
const ROUND_MS: u64 = 70;
const BACKOFF_MS: u64 = 100;
/// Longest time that a request waits for a token: half of its objective.
const PATIENCE_MS: u64 = 250;

#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) requests_per_s: f64,
    pub(crate) neighbour_per_s: f64,
    pub(crate) seconds: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Played {
    pub(crate) attempts: usize,
    pub(crate) refused: usize,
    pub(crate) neighbour_refused: usize,
    pub(crate) most_in_window: f64,
    pub(crate) bound: f64,
}

impl Played {
    pub(crate) fn refused_part(&self) -> f64 {
        self.refused as f64 / self.attempts as f64
    }
}

impl fmt::Display for Played {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} attempts refused ({:.3}), neighbour {}, {} of {:.0} in a window",
            self.refused,
            self.attempts,
            self.refused_part(),
            self.neighbour_refused,
            self.most_in_window,
            self.bound,
        )
    }
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    zone: usize,
    team: usize,
    is_retry: bool,
    waited_ms: u64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Attempt(Attempt),
    Ask {
        to: usize,
        from: usize,
        team: usize,
        round: u64,
        tokens: f64,
    },
    Lent {
        to: usize,
        team: usize,
        round: u64,
        tokens: f64,
    },
}

#[derive(Debug, Default)]
struct Round {
    number: u64,
    ends_ms: u64,
    next_ms: u64,
    replies: usize,
    reserved: f64,
    received: f64,
    waiting: Vec<Attempt>,
}

struct World {
    now_ms: u64,
    random: Pcg64Mcg,
    pools: Vec<TokenPools>,
    rounds: [[Round; 2]; ZONES],
    events: VecDeque<Vec<Event>>,
    sent: Vec<u64>,
    played: Played,
}

/// Plays the load; only the first team asks for more than its limit.
pub(crate) fn play(load: Load, uses_unused_burst: bool, seed: u64) -> Played {
    let settings = QuotaSettings {
        over: 0.1,
        slack: 20.0,
        pools: ZONES,
        uses_unused_burst,
        ..QuotaSettings::default()
    };
    let pools = (0..ZONES).map(|_| TokenPools::new(settings, TimeMs::ZERO));
    let mut world = World {
        now_ms: START_MS,
        random: Pcg64Mcg::seed_from_u64(seed),
        pools: pools.collect(),
        rounds: Default::default(),
        events: VecDeque::new(),
        sent: Vec::new(),
        played: Played::default(),
    };
    let mut due = [0.0; 2];
    for _ in 0..load.seconds * 1_000 {
        for (team, per_s) in [load.requests_per_s, load.neighbour_per_s]
            .into_iter()
            .enumerate()
        {
            due[team] += per_s / 1_000.0;
            if due[team] >= 1.0 {
                due[team] -= 1.0;
                let zone = world.draw_zone();
                world.attempt(Attempt {
                    zone,
                    team,
                    is_retry: false,
                    waited_ms: 0,
                });
            }
        }
        world.advance();
    }
    let limit = QUOTA.rate_per_s.mul_add(5.0, QUOTA.burst);
    world.played.bound = limit * 1.1 + 20.0;
    world.played.most_in_window = most_in_window(&world.sent, settings.window_ms);
    world.played
}

fn most_in_window(sent: &[u64], window_ms: u64) -> f64 {
    let counts = sent.iter().enumerate().map(|(index, first)| {
        let until = first + window_ms;
        sent[index..].partition_point(|ms| *ms < until)
    });
    counts.max().unwrap_or(0) as f64
}

impl World {
    fn now(&self) -> TimeMs {
        TimeMs::new(self.now_ms)
    }

    /// Draws a zone; at its peak, one asks four times as much as at its lowest.
    fn draw_zone(&mut self) -> usize {
        let weight = |zone: usize| {
            let phase = self.now_ms as f64 / WAVE_MS + zone as f64 / ZONES as f64;
            1.0 + 1.5 * (1.0 + (phase * core::f64::consts::TAU).sin())
        };
        let weights: Vec<_> = (0..ZONES).map(weight).collect();
        let mut drawn = self.random.random::<f64>() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|weight| {
            drawn -= weight;
            drawn < 0.0
        });
        found.unwrap_or(0)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        let index = delay_ms.max(1) as usize;
        while self.events.len() <= index {
            self.events.push_back(Vec::new());
        }
        self.events[index].push(event);
    }

    fn advance(&mut self) {
        self.now_ms += 1;
        self.events.pop_front();
        let due = self.events.front_mut().map(core::mem::take);
        for event in due.unwrap_or_default() {
            self.apply(event);
        }
        for zone in 0..ZONES {
            for team in 0..2 {
                let round = &self.rounds[zone][team];
                if round.ends_ms == self.now_ms {
                    self.end_round(zone, team);
                }
            }
        }
    }

    fn apply(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Attempt(attempt) => self.attempt(attempt),
            Event::Ask {
                to,
                from,
                team,
                round,
                tokens,
            } => {
                let tokens = self.pools[to].lend(now, TeamKey(team as u64), QUOTA, tokens);
                let delay_ms = self.random.random_range(15..35);
                let lent = Event::Lent {
                    to: from,
                    team,
                    round,
                    tokens,
                };
                self.schedule(delay_ms, lent);
            }
            Event::Lent {
                to,
                team,
                round,
                tokens,
            } => self.receive(to, team, round, tokens),
        }
    }

    fn attempt(&mut self, attempt: Attempt) {
        let (now, zone, team) = (self.now(), attempt.zone, attempt.team);
        let key = TeamKey(team as u64);
        self.pools[zone].record_demand(now, key, QUOTA);
        if self.takes(&attempt) {
            return;
        }
        let round = &mut self.rounds[zone][team];
        if self.now_ms < round.ends_ms {
            round.waiting.push(attempt);
        } else if self.now_ms < round.next_ms {
            self.deny(attempt);
        } else {
            self.begin_round(attempt);
        }
    }

    fn takes(&mut self, attempt: &Attempt) -> bool {
        let (now, key) = (self.now(), TeamKey(attempt.team as u64));
        let pools = &mut self.pools[attempt.zone];
        let is_taken = pools.take(now, key, QUOTA, 0).is_ok();
        if attempt.team == 0 && self.is_counted() {
            self.played.attempts += usize::from(is_taken);
        }
        if is_taken && attempt.team == 0 {
            self.sent.push(self.now_ms);
        }
        is_taken
    }

    fn is_counted(&self) -> bool {
        self.now_ms >= START_MS + SETTLE_MS
    }

    /// Lets a request wait until its pool is likely to have a token, or refuses it.
    fn deny(&mut self, attempt: Attempt) {
        let (now, key) = (self.now(), TeamKey(attempt.team as u64));
        let pools = &mut self.pools[attempt.zone];
        let Err(denial) = pools.take(now, key, QUOTA, 0) else {
            panic!("a token for a request that was denied");
        };
        let waited_ms = attempt.waited_ms + denial.retry_after_ms;
        if waited_ms > PATIENCE_MS {
            self.refuse(attempt);
            return;
        }
        let waiting = Attempt {
            waited_ms,
            ..attempt
        };
        self.schedule(denial.retry_after_ms, Event::Attempt(waiting));
    }

    fn refuse(&mut self, attempt: Attempt) {
        if attempt.team == 1 {
            self.played.neighbour_refused += 1;
        } else if self.is_counted() {
            self.played.attempts += 1;
            self.played.refused += 1;
        }
        if !attempt.is_retry {
            let delay_ms = self.random.random_range(200..600);
            let again = Attempt {
                is_retry: true,
                waited_ms: 0,
                ..attempt
            };
            self.schedule(delay_ms, Event::Attempt(again));
        }
    }

    fn begin_round(&mut self, attempt: Attempt) {
        let (now, zone, team) = (self.now(), attempt.zone, attempt.team);
        let pools = &mut self.pools[zone];
        let each = pools.reserve(now, TeamKey(team as u64), QUOTA, ZONES - 1, 0);
        let number = self.rounds[zone][team].number + 1;
        let asks = each >= 0.001;
        self.rounds[zone][team] = Round {
            number,
            ends_ms: self.now_ms + if asks { ROUND_MS } else { 1 },
            reserved: each * (ZONES - 1) as f64,
            waiting: vec![attempt],
            ..Round::default()
        };
        for to in (0..ZONES).filter(|to| asks && *to != zone) {
            let delay_ms = self.random.random_range(15..35);
            let ask = Event::Ask {
                to,
                from: zone,
                team,
                round: number,
                tokens: each,
            };
            self.schedule(delay_ms, ask);
        }
    }

    fn receive(&mut self, zone: usize, team: usize, round: u64, tokens: f64) {
        let now = self.now();
        let running = &mut self.rounds[zone][team];
        if running.number != round || running.ends_ms < self.now_ms {
            return;
        }
        running.received += tokens;
        running.replies += 1;
        if running.replies == ZONES - 1 {
            running.ends_ms = self.now_ms;
        }
        let waiting = core::mem::take(&mut running.waiting);
        self.pools[zone].receive(now, TeamKey(team as u64), QUOTA, tokens);
        let left = waiting.into_iter().filter(|one| !self.takes(one)).collect();
        self.rounds[zone][team].waiting = left;
    }

    fn end_round(&mut self, zone: usize, team: usize) {
        let round = &mut self.rounds[zone][team];
        if round.received < 1.0 {
            round.next_ms = self.now_ms + BACKOFF_MS;
        }
        let unused = round.reserved - round.received;
        let waiting = core::mem::take(&mut round.waiting);
        self.pools[zone].release(TeamKey(team as u64), unused);
        for attempt in waiting {
            if !self.takes(&attempt) {
                self.deny(attempt);
            }
        }
    }
}
