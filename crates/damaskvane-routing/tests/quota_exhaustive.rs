//! Searches all orders of events of two pools: requests, loans that arrive, are late or are lost, restarts and returned
//! tokens.

use damaskvane_core::time::TimeMs;
use damaskvane_routing::quota::{QuotaSettings, TokenPools};
use damaskvane_routing::teams::{Quota, TeamKey};

const TEAM: TeamKey = TeamKey(1);
const QUOTA: Quota = Quota {
    rate_per_s: 0.2,
    burst: 8.0,
};
const SETTINGS: QuotaSettings = QuotaSettings {
    window_ms: 1_000,
    over: 0.0,
    slack: 0.0,
    pools: 2,
    token_ttl_ms: 100,
    uses_unused_burst: false,
};
const USING_BURST: QuotaSettings = QuotaSettings {
    uses_unused_burst: true,
    ..SETTINGS
};
/// Number of events of a history, each followed by a pause.
const DEPTH: usize = 8;
/// The first pause keeps events in one window, the second one lets pools fill up.
const PAUSES_MS: [u64; 2] = [99, 60_000];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// All tokens of a pool are taken, and used at the end of their lives.
    Spend(usize),
    /// A pool asks the other one for tokens.
    Borrow(usize),
    /// The oldest loan on its way arrives.
    Arrive,
    /// The oldest loan on its way is lost, and its round ends.
    Lose,
    /// The process of a pool starts again.
    Restart(usize),
    /// The last token that was taken returns, if it still lives.
    Return,
}

const EVENTS: [Event; 9] = [
    Event::Spend(0),
    Event::Spend(1),
    Event::Borrow(0),
    Event::Borrow(1),
    Event::Arrive,
    Event::Lose,
    Event::Restart(0),
    Event::Restart(1),
    Event::Return,
];

#[derive(Debug, Clone, Copy)]
struct Loan {
    to: usize,
    incarnation: u64,
    tokens: f64,
    reserved: f64,
}

#[derive(Debug, Clone)]
struct World {
    settings: [QuotaSettings; 2],
    now_ms: u64,
    pools: [TokenPools; 2],
    incarnations: [u64; 2],
    loans: Vec<Loan>,
    /// Pool and time of each token that was taken; used when its life ends.
    taken: Vec<(usize, u64)>,
}

impl World {
    fn new(settings: [QuotaSettings; 2]) -> Self {
        Self {
            settings,
            now_ms: 60_000,
            pools: settings.map(|one| TokenPools::new(one, TimeMs::ZERO)),
            incarnations: [0; 2],
            loans: Vec::new(),
            taken: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        let now = TimeMs::new(self.now_ms);
        match event {
            Event::Spend(pool) => {
                while self.pools[pool].take(now, TEAM, QUOTA, 0).is_ok() {
                    self.taken.push((pool, self.now_ms));
                }
            }
            Event::Borrow(to) => {
                self.pools[to].record_demand(now, TEAM, QUOTA);
                let reserved = self.pools[to].reserve(now, TEAM, QUOTA, 1, 0);
                let tokens = self.pools[1 - to].lend(now, TEAM, QUOTA, reserved);
                let incarnation = self.incarnations[to];
                self.loans.push(Loan {
                    to,
                    incarnation,
                    tokens,
                    reserved,
                });
            }
            Event::Arrive | Event::Lose if self.loans.is_empty() => {}
            Event::Arrive | Event::Lose => {
                let loan = self.loans.remove(0);
                if self.incarnations[loan.to] != loan.incarnation {
                    return;
                }
                let arrived = if event == Event::Arrive {
                    loan.tokens
                } else {
                    0.0
                };
                self.pools[loan.to].receive(now, TEAM, QUOTA, arrived);
                self.pools[loan.to].release(TEAM, loan.reserved - arrived);
            }
            Event::Restart(pool) => {
                self.pools[pool] = TokenPools::new(self.settings[pool], now);
                self.incarnations[pool] += 1;
            }
            Event::Return => {
                let Some((pool, taken_ms)) = self.taken.last().copied() else {
                    return;
                };
                if self.now_ms - taken_ms < SETTINGS.token_ttl_ms {
                    self.taken.pop();
                    self.pools[pool].give_back(now, TEAM, QUOTA);
                }
            }
        }
    }

    /// Checks the bound for the window that ends with the last token, with each token used as late as it may be.
    fn is_within(&self) -> bool {
        let window_s = SETTINGS.window_ms as f64 / 1_000.0;
        let limit = QUOTA.rate_per_s * window_s + QUOTA.burst;
        let bound = limit * (1.0 + SETTINGS.over) + SETTINGS.slack;
        let Some((_, last_ms)) = self.taken.last() else {
            return true;
        };
        // Used together with the last one: tokens that are younger than the window, and those that lived until its
        // beginning.
        let from_ms = last_ms.saturating_sub(SETTINGS.window_ms + SETTINGS.token_ttl_ms - 1);
        let used = self.taken.iter().filter(|(_, ms)| *ms > from_ms);
        used.count() as f64 <= bound
    }
}

fn search(world: &World, depth: usize, history: &mut Vec<(Event, u64)>, count: &mut u64) {
    *count += 1;
    assert!(world.is_within(), "{history:?}");
    if depth == 0 {
        return;
    }
    for event in EVENTS {
        let is_idle = match event {
            Event::Arrive | Event::Lose => world.loans.is_empty(),
            Event::Return => world.taken.is_empty(),
            _ => false,
        };
        if is_idle {
            continue;
        }
        let mut changed = world.clone();
        changed.apply(event);
        // A second pause is of use only where time matters.
        let pauses = if matches!(event, Event::Spend(_) | Event::Borrow(_)) {
            2
        } else {
            1
        };
        for pause_ms in &PAUSES_MS[..pauses] {
            let mut next = changed.clone();
            next.now_ms += pause_ms;
            history.push((event, *pause_ms));
            search(&next, depth - 1, history, count);
            history.pop();
        }
    }
}

fn search_all(settings: [QuotaSettings; 2]) {
    let mut count = 0;
    let world = World::new(settings);
    search(&world, DEPTH_IN_BUILD, &mut Vec::new(), &mut count);
    assert!(count > 100_000, "{count} histories");
}

/// Guards against an order of few events after which a window holds more requests than the bound.
#[test]
fn no_short_history_of_two_pools_exceeds_the_bound() {
    search_all([SETTINGS; 2]);
}

/// Guards against the same with a rate that rises while a pool holds little.
#[test]
fn no_short_history_of_pools_that_use_an_unused_burst_exceeds_the_bound() {
    search_all([USING_BURST; 2]);
}

/// Guards against the same while one pool is held by a process that has the key off.
#[test]
fn no_short_history_of_two_different_pools_exceeds_the_bound() {
    search_all([USING_BURST, SETTINGS]);
}

/// An unoptimised build searches one event less, in the same time.
const DEPTH_IN_BUILD: usize = if cfg!(debug_assertions) {
    DEPTH - 2
} else {
    DEPTH - 1
};
