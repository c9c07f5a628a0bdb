//! Plays random histories of pools that use an unused burst, beside pools that don't: switches, changes of the quota,
//! restarts, pauses, lost and late messages, and tokens that return again and again.

use damaskvane_core::time::TimeMs;
use damaskvane_routing::quota::{QuotaSettings, TokenPools};
use damaskvane_routing::teams::{Quota, TeamKey};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TEAM: TeamKey = TeamKey(7);
const POOLS: usize = 3;
const LENGTH_MS: u64 = 24_000;
const ROUND_MS: u64 = 70;

/// What a history contains besides requests and loans.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    /// Switches of the settings key, a second.
    switches: f64,
    /// Starts of a process, a second.
    restarts: f64,
    /// Pauses of a process, a second.
    pauses: f64,
    /// Changes to the other quota and back, a second.
    changes: f64,
    /// Part of the tokens that return at the end of their lives.
    returned: f64,
    /// Part of the loans that are lost.
    lost: f64,
    /// Part of the time in which the team asks for nothing.
    idle: f64,
}

struct Loan {
    to: usize,
    round: u64,
    tokens: f64,
    at_ms: u64,
}

struct Taken {
    pool: usize,
    at_ms: u64,
    returns: bool,
}

#[derive(Default)]
struct Round {
    number: u64,
    ends_ms: u64,
    unused: f64,
}

struct World {
    random: Pcg64Mcg,
    quota: Quota,
    settings: [QuotaSettings; POOLS],
    pools: Vec<TokenPools>,
    paused_until: [u64; POOLS],
    rounds: [Round; POOLS],
    last_round: u64,
    loans: Vec<Loan>,
    taken: Vec<Taken>,
    sent: Vec<u64>,
}

fn at(ms: u64) -> TimeMs {
    TimeMs::new(ms)
}

fn settings(uses_unused_burst: bool) -> QuotaSettings {
    QuotaSettings {
        window_ms: 2_000,
        pools: POOLS,
        uses_unused_burst,
        ..QuotaSettings::default()
    }
}

fn bound(quota: Quota) -> f64 {
    quota.rate_per_s * 2.0 + quota.burst
}

impl World {
    fn new(seed: u64, quota: Quota, is_on: [bool; POOLS]) -> Self {
        let settings = is_on.map(settings);
        let pools = settings.map(|one| TokenPools::new(one, at(0)));
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            quota,
            settings,
            pools: pools.into(),
            paused_until: [0; POOLS],
            rounds: Default::default(),
            last_round: 0,
            loans: Vec::new(),
            taken: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn chance(&mut self, per_s: f64) -> bool {
        self.random.random_bool((per_s / 1_000.0).min(1.0))
    }

    fn upset(&mut self, ms: u64, faults: Faults, quotas: [Quota; 2]) {
        let pool = self.random.random_range(0..POOLS);
        if self.chance(faults.switches) {
            let is_on = !self.settings[pool].uses_unused_burst;
            self.settings[pool] = settings(is_on);
            self.pools[pool].set_settings(self.settings[pool]);
        }
        if self.chance(faults.restarts) {
            self.pools[pool] = TokenPools::new(self.settings[pool], at(ms));
            self.rounds[pool] = Round::default();
        }
        if self.chance(faults.pauses) {
            self.paused_until[pool] = ms + self.random.random_range(1..4_000);
        }
        if self.chance(faults.changes) {
            self.quota = quotas[usize::from(self.quota == quotas[0])];
        }
    }

    fn take(&mut self, ms: u64, pool: usize, faults: Faults) -> bool {
        let is_taken = self.pools[pool].take(at(ms), TEAM, self.quota, 0).is_ok();
        if is_taken {
            let returns = self.random.random_bool(faults.returned);
            self.taken.push(Taken {
                pool,
                at_ms: ms,
                returns,
            });
        }
        is_taken
    }

    fn borrow(&mut self, ms: u64, pool: usize, faults: Faults) {
        if ms < self.rounds[pool].ends_ms {
            return;
        }
        let each = self.pools[pool].reserve(at(ms), TEAM, self.quota, POOLS - 1, 0);
        self.last_round += 1;
        self.rounds[pool] = Round {
            number: self.last_round,
            ends_ms: ms + ROUND_MS,
            unused: each * (POOLS - 1) as f64,
        };
        for lender in (0..POOLS).filter(|lender| *lender != pool) {
            if ms < self.paused_until[lender] {
                continue;
            }
            let tokens = self.pools[lender].lend(at(ms), TEAM, self.quota, each);
            if !self.random.random_bool(faults.lost) {
                let delay_ms = self.random.random_range(1..ROUND_MS + 20);
                self.loans.push(Loan {
                    to: pool,
                    round: self.last_round,
                    tokens,
                    at_ms: ms + delay_ms,
                });
            }
        }
    }

    fn deliver(&mut self, ms: u64) {
        let paused_until = self.paused_until;
        let due = |loan: &mut Loan| loan.at_ms <= ms && paused_until[loan.to] <= ms;
        let due: Vec<_> = self.loans.extract_if(.., due).collect();
        for loan in due {
            let round = &mut self.rounds[loan.to];
            if round.number == loan.round && ms < round.ends_ms {
                round.unused -= loan.tokens;
                self.pools[loan.to].receive(at(ms), TEAM, self.quota, loan.tokens);
            }
        }
        for (pool, round) in self.rounds.iter_mut().enumerate() {
            if round.number > 0 && round.ends_ms <= ms && paused_until[pool] <= ms {
                let unused = core::mem::take(&mut round.unused);
                round.number = 0;
                self.pools[pool].release(TEAM, unused);
            }
        }
    }

    /// Uses the tokens at the end of their lives, or returns them.
    fn use_tokens(&mut self, ms: u64, ttl_ms: u64) {
        let due = |one: &mut Taken| one.at_ms + ttl_ms - 1 <= ms;
        let due: Vec<_> = self.taken.extract_if(.., due).collect();
        for one in due {
            if one.returns && self.paused_until[one.pool] <= ms {
                self.pools[one.pool].give_back(at(ms), TEAM, self.quota);
            } else {
                self.sent.push(ms);
            }
        }
    }
}

/// Returns the largest part of the bound that a window uses.
fn play(
    seed: u64,
    quotas: [Quota; 2],
    is_on: [bool; POOLS],
    demand_per_s: f64,
    faults: Faults,
) -> f64 {
    let mut world = World::new(seed, quotas[0], is_on);
    let mut is_idle = false;
    for ms in 0..LENGTH_MS {
        world.upset(ms, faults, quotas);
        world.deliver(ms);
        if ms % 700 == 0 {
            is_idle = world.random.random_bool(faults.idle);
        }
        let hot = (ms / 3_000) as usize % POOLS;
        let mut due = if is_idle { 0.0 } else { demand_per_s / 1_000.0 };
        while due > 0.0 {
            let is_due = world.random.random_bool(due.min(1.0));
            due -= 1.0;
            let other = world.random.random_range(0..POOLS);
            let pool = if world.random.random_bool(0.6) {
                hot
            } else {
                other
            };
            if !is_due || ms < world.paused_until[pool] {
                continue;
            }
            let quota = world.quota;
            world.pools[pool].record_demand(at(ms), TEAM, quota);
            if !world.take(ms, pool, faults) {
                world.borrow(ms, pool, faults);
            }
        }
        world.use_tokens(ms, QuotaSettings::default().token_ttl_ms);
    }
    let bound = quotas.map(bound).into_iter().fold(0.0, f64::max);
    let window_ms = world.settings[0].window_ms;
    let most =
        world.sent.iter().enumerate().map(|(index, first)| {
            world.sent[index..].partition_point(|ms| *ms < first + window_ms)
        });
    most.max().unwrap_or(0) as f64 / bound
}

const QUOTAS: [Quota; 4] = [
    Quota {
        rate_per_s: 40.0,
        burst: 40.0,
    },
    Quota {
        rate_per_s: 20.0,
        burst: 200.0,
    },
    Quota {
        rate_per_s: 100.0,
        burst: 12.0,
    },
    Quota {
        rate_per_s: 4.0,
        burst: 9.0,
    },
];

fn assert_kept(name: &str, faults: Faults, changes_quota: bool) {
    let mut most: f64 = 0.0;
    for (index, quota) in QUOTAS.into_iter().enumerate() {
        let other = if changes_quota {
            QUOTAS[(index + 1) % QUOTAS.len()]
        } else {
            quota
        };
        for is_on in [[true; POOLS], [true, false, true]] {
            for seed in 0..4 {
                for demand in [0.9, 1.3, 5.0] {
                    let demand_per_s = quota.rate_per_s * demand;
                    let part = play(seed, [quota, other], is_on, demand_per_s, faults);
                    most = most.max(part);
                    assert!(
                        part <= 1.0,
                        "{name}: {part} of the bound, {quota:?} {is_on:?} seed {seed} demand {demand}"
                    );
                }
            }
        }
    }
    println!("{name}: at most {most:.3} of the bound");
}

/// Guards against a rate that doesn't fall as a pool saves tokens for a burst.
#[test]
fn bursts_after_pauses_of_the_load_stay_within_the_bound() {
    let faults = Faults {
        idle: 0.5,
        lost: 0.1,
        ..Faults::default()
    };
    assert_kept("bursts", faults, false);
}

/// Guards against a burst or a raised rate that a new process has again.
#[test]
fn restarts_and_pauses_stay_within_the_bound() {
    let faults = Faults {
        restarts: 0.5,
        pauses: 0.3,
        idle: 0.3,
        lost: 0.3,
        ..Faults::default()
    };
    assert_kept("restarts", faults, false);
}

/// Guards against pools that use the burst in both ways, before and after a switch.
#[test]
fn switches_at_any_moment_stay_within_the_bound() {
    let faults = Faults {
        switches: 2.0,
        idle: 0.4,
        lost: 0.1,
        ..Faults::default()
    };
    assert_kept("switches", faults, false);
}

/// Guards against tokens of a higher limit that a lower one adds to.
#[test]
fn changes_of_the_quota_stay_within_the_larger_bound() {
    let faults = Faults {
        changes: 0.5,
        switches: 0.3,
        idle: 0.3,
        ..Faults::default()
    };
    assert_kept("changes", faults, true);
}

/// Guards against tokens that are taken and returned again and again, while further ones are earned.
#[test]
fn tokens_that_return_stay_within_the_bound() {
    for returned in [0.5, 0.95] {
        let faults = Faults {
            returned,
            idle: 0.3,
            lost: 0.1,
            ..Faults::default()
        };
        assert_kept("returned", faults, false);
    }
}
