//! Tests of quotas over several pools: whatever happens to the pools and to the messages between them, no window holds
//! more requests than the bound.

use damaskvane_core::time::TimeMs;
use damaskvane_routing::quota::{QuotaSettings, TokenPools};
use damaskvane_routing::teams::{Quota, TeamKey};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TEAM: TeamKey = TeamKey(7);

fn at(ms: u64) -> TimeMs {
    TimeMs::new(ms)
}

fn settings(pools: usize, over: f64, slack: f64) -> QuotaSettings {
    QuotaSettings {
        over,
        slack,
        pools,
        ..QuotaSettings::default()
    }
}

fn bound(settings: QuotaSettings, quota: Quota) -> f64 {
    let window_s = settings.window_ms as f64 / 1_000.0;
    (quota.rate_per_s * window_s + quota.burst) * (1.0 + settings.over) + settings.slack
}

fn assert_within(sent: &[u64], settings: QuotaSettings, quota: Quota, history: &str) {
    let bound = bound(settings, quota);
    for (index, first) in sent.iter().enumerate() {
        let until = first + settings.window_ms;
        let count = sent[index..].iter().take_while(|ms| **ms < until).count();
        assert!(
            count as f64 <= bound,
            "{count} of {bound} from {first} ms: {history}"
        );
    }
}

/// A loan on its way to the pool that asked for it.
struct Loan {
    to: usize,
    /// Start of the process that asked; a later one knows nothing of the loan.
    incarnation: u64,
    tokens: f64,
    arrives_ms: u64,
}

/// A token that was taken from a pool and not yet used.
struct Taken {
    pool: usize,
    taken_ms: u64,
    use_ms: u64,
}

/// Plays a random history of requests, loans, losses, delays, restarts and returned tokens.
fn play(seed: u64, settings: QuotaSettings, quota: Quota, demand_per_ms: f64) -> Vec<u64> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let pools = settings.pools;
    let mut held: Vec<TokenPools> = (0..pools)
        .map(|_| TokenPools::new(settings, at(0)))
        .collect();
    let mut incarnations = vec![0_u64; pools];
    let (mut loans, mut taken, mut sent) = (Vec::<Loan>::new(), Vec::<Taken>::new(), Vec::new());
    let hot = random.random_range(0..pools);
    for ms in 0..20_000 {
        if random.random_bool(0.000_5) {
            // The process that holds the pool ends and starts again.
            let pool = random.random_range(0..pools);
            held[pool] = TokenPools::new(settings, at(ms));
            incarnations[pool] = ms;
        }
        if random.random_bool(demand_per_ms.min(1.0)) {
            let pool = if random.random_bool(0.6) {
                hot
            } else {
                random.random_range(0..pools)
            };
            held[pool].record_demand(at(ms), TEAM, quota);
            if held[pool].take(at(ms), TEAM, quota, 0).is_ok() {
                let use_ms = ms + random.random_range(0..settings.token_ttl_ms);
                taken.push(Taken {
                    pool,
                    taken_ms: ms,
                    use_ms,
                });
            } else {
                let each = held[pool].reserve(at(ms), TEAM, quota, pools - 1, 0);
                for lender in (0..pools).filter(|lender| *lender != pool) {
                    let tokens = held[lender].lend(at(ms), TEAM, quota, each);
                    // A loan may be lost, in time, or very late.
                    let delay_ms = match random.random_range(0..10) {
                        0 => None,
                        1 => Some(random.random_range(0..6_000)),
                        _ => Some(random.random_range(0..40)),
                    };
                    let arrives_ms = delay_ms.map_or(u64::MAX, |delay_ms| ms + delay_ms);
                    let incarnation = incarnations[pool];
                    loans.push(Loan {
                        to: pool,
                        incarnation,
                        tokens,
                        arrives_ms,
                    });
                    if arrives_ms == u64::MAX {
                        held[pool].release(TEAM, each);
                    } else {
                        held[pool].release(TEAM, each - tokens);
                    }
                }
            }
        }
        for loan in loans.extract_if(.., |loan| loan.arrives_ms == ms) {
            if incarnations[loan.to] == loan.incarnation {
                held[loan.to].receive(at(ms), TEAM, quota, loan.tokens);
            }
        }
        for one in taken.extract_if(.., |one| one.use_ms == ms) {
            let is_in_time = ms - one.taken_ms < settings.token_ttl_ms;
            if is_in_time && random.random_bool(0.2) {
                held[one.pool].give_back(at(ms), TEAM, quota);
            } else {
                sent.push(ms);
            }
        }
    }
    sent
}

/// Guards against a sum over all pools beyond the bound, after any losses, delays, restarts and returns.
#[test]
fn no_window_of_any_history_holds_more_requests_than_the_bound() {
    play_all(false);
}

/// Guards against the same with a rate that rises while a pool holds little.
#[test]
fn no_window_of_pools_that_use_an_unused_burst_holds_more_requests_than_the_bound() {
    play_all(true);
}

fn play_all(uses_unused_burst: bool) {
    let quotas = [
        (5.0, 5.0),
        (50.0, 50.0),
        (300.0, 20.0),
        (40.0, 400.0),
        (0.5, 0.0),
    ];
    for (rate_per_s, burst) in quotas {
        let quota = Quota { rate_per_s, burst };
        for (pools, over, slack) in [(1, 0.0, 0.0), (3, 0.1, 20.0), (6, 0.1, 20.0), (6, 0.0, 0.0)] {
            let settings = QuotaSettings {
                uses_unused_burst,
                ..settings(pools, over, slack)
            };
            for seed in 0..6 {
                for demand in [0.5, 2.0, 6.0] {
                    let sent = play(seed, settings, quota, rate_per_s * demand / 1_000.0);
                    let history = format!("{quota:?} {settings:?} seed {seed} demand {demand}");
                    assert_within(&sent, settings, quota, &history);
                }
            }
        }
    }
}

/// Guards against tokens that were taken, or returned, just before a window and are used in it.
#[test]
fn tokens_that_are_held_as_long_as_they_live_stay_within_the_bound() {
    let settings = settings(1, 0.0, 0.0);
    let quota = Quota {
        rate_per_s: 200.0,
        burst: 300.0,
    };
    let ttl_ms = settings.token_ttl_ms;
    let mut pools = TokenPools::new(settings, at(0));
    let start_ms = 10_000;
    let take_all = |pools: &mut TokenPools, ms: u64| {
        core::iter::from_fn(|| pools.take(at(ms), TEAM, quota, 0).ok()).count()
    };
    // All are taken and returned at the end of their lives; those that were earned meanwhile are kept.
    let first = take_all(&mut pools, start_ms);
    let returned_ms = start_ms + ttl_ms - 1;
    let earned = take_all(&mut pools, returned_ms);
    for _ in 0..first {
        pools.give_back(at(returned_ms), TEAM, quota);
    }
    let again = take_all(&mut pools, returned_ms);
    let used_ms = returned_ms + ttl_ms - 1;
    let mut sent = vec![used_ms; earned + again];
    for ms in returned_ms..used_ms + settings.window_ms {
        let taken = take_all(&mut pools, ms);
        sent.extend(core::iter::repeat_n(ms.max(used_ms), taken));
    }
    assert_within(&sent, settings, quota, "held tokens");
}

/// Guards against pools that fill up while tokens are on their way between them.
#[test]
fn a_loan_on_its_way_counts_as_held() {
    let settings = settings(2, 0.0, 0.0);
    let quota = Quota {
        rate_per_s: 10.0,
        burst: 400.0,
    };
    let mut held: Vec<_> = (0..2).map(|_| TokenPools::new(settings, at(0))).collect();
    let take_all = |pools: &mut TokenPools, ms: u64| {
        core::iter::from_fn(|| pools.take(at(ms), TEAM, quota, 0).ok()).count()
    };
    let lent_ms = 60_000;
    take_all(&mut held[0], lent_ms);
    for _ in 0..150 {
        held[0].record_demand(at(lent_ms), TEAM, quota);
    }
    let asked = held[0].reserve(at(lent_ms), TEAM, quota, 1, 0);
    let lent = held[1].lend(at(lent_ms), TEAM, quota, asked);
    assert!(lent > 100.0, "{lent} lent");
    let late_ms = lent_ms + 120_000;
    let mut sent = Vec::new();
    for ms in late_ms..late_ms + settings.window_ms {
        for pools in &mut held {
            let taken = take_all(pools, ms);
            sent.extend(core::iter::repeat_n(ms, taken));
        }
        if ms == late_ms {
            held[0].receive(at(ms), TEAM, quota, lent);
        }
    }
    assert_within(&sent, settings, quota, "a late loan");
}

/// Guards against a pool whose burst would be spent again after each start of its process.
#[test]
fn a_pool_begins_empty() {
    let settings = settings(6, 0.1, 20.0);
    let quota = Quota {
        rate_per_s: 60.0,
        burst: 60.0,
    };
    let mut pools = TokenPools::new(settings, at(1_000));
    assert!(pools.take(at(1_000), TEAM, quota, 0).is_err());
    assert!(pools.take(at(1_200), TEAM, quota, 0).is_ok());
    assert!(pools.take(at(1_200), TEAM, quota, 0).is_ok());
    assert!(pools.take(at(1_200), TEAM, quota, 0).is_err());
}

/// Guards against refusals of a team that is well below its quota, when its requests move to one zone.
#[test]
fn a_pool_with_all_requests_of_a_team_borrows_what_it_needs() {
    for (rate_per_s, uses_unused_burst) in [
        (2.0, false),
        (20.0, false),
        (200.0, false),
        (2.0, true),
        (20.0, true),
        (200.0, true),
    ] {
        let settings = QuotaSettings {
            uses_unused_burst,
            ..settings(6, 0.1, 20.0)
        };
        let quota = Quota {
            rate_per_s,
            burst: rate_per_s,
        };
        let mut held: Vec<_> = (0..6).map(|_| TokenPools::new(settings, at(0))).collect();
        let mut refused = 0;
        let interval_ms = 1_000.0 * 1.6 / rate_per_s;
        for number in 1..2_000 {
            let now = at(5_000 + (f64::from(number) * interval_ms) as u64);
            held[0].record_demand(now, TEAM, quota);
            if held[0].take(now, TEAM, quota, 0).is_ok() {
                continue;
            }
            let each = held[0].reserve(now, TEAM, quota, 5, 0);
            for lender in 1..6 {
                let lent = held[lender].lend(now, TEAM, quota, each);
                held[0].receive(now, TEAM, quota, lent);
                held[0].release(TEAM, each - lent);
            }
            refused += usize::from(held[0].take(now, TEAM, quota, 0).is_err());
        }
        assert_eq!(refused, 0, "rate {rate_per_s}");
    }
}

/// Takes tokens of one pool for requests of several priorities, each as often in a second; returns how many each got.
fn take_by_priority(uses_unused_burst: bool, quota: Quota, per_s: [u64; 3]) -> [usize; 3] {
    let settings = QuotaSettings {
        uses_unused_burst,
        ..settings(1, 0.1, 4.0)
    };
    let mut pools = TokenPools::new(settings, at(0));
    let mut taken = [0; 3];
    for ms in 20_000..50_000 {
        for (priority, per_s) in per_s.into_iter().enumerate() {
            let is_due = per_s > 0 && ms % (1_000 / per_s) == 0;
            if is_due && pools.take(at(ms), TEAM, quota, priority as u32).is_ok() {
                taken[priority] += 1;
            }
        }
    }
    taken
}

/// Guards against urgent requests that are refused while others of their team run.
#[test]
fn urgent_requests_come_first_and_no_others_are_starved() {
    // A pool that holds two tokens can't keep a whole one for urgent requests.
    for (burst, least_urgent) in [(20.0, 300), (1.0, 260)] {
        let quota = Quota {
            rate_per_s: 20.0,
            burst,
        };
        let [urgent, _, others] = take_by_priority(true, quota, [10, 0, 50]);
        assert!(urgent >= least_urgent, "{urgent} at burst {burst}");
        assert!(others >= 250, "{others} at burst {burst}");
        let [_, _, alone] = take_by_priority(true, quota, [0, 0, 50]);
        assert!(alone >= 550, "{alone} at burst {burst}");
        let [without, _, _] = take_by_priority(false, quota, [10, 0, 50]);
        assert!(without < urgent, "{without} at burst {burst}");
    }
}

/// Guards against a lowered limit that tokens of the higher one outlive.
#[test]
fn a_lowered_quota_binds_at_once() {
    let settings = settings(1, 0.0, 0.0);
    let high = Quota {
        rate_per_s: 100.0,
        burst: 100.0,
    };
    let low = Quota {
        rate_per_s: 1.0,
        burst: 2.0,
    };
    let mut pools = TokenPools::new(settings, at(0));
    assert!(pools.take(at(5_000), TEAM, high, 0).is_ok());
    let served = (0..100).filter(|_| pools.take(at(5_001), TEAM, low, 0).is_ok());
    assert!(served.count() <= 2);
}

/// Guards against refused callers who all return at once, or never.
#[test]
fn a_refused_caller_learns_when_a_token_is_earned() {
    let settings = settings(1, 0.0, 0.0);
    let quota = Quota {
        rate_per_s: 2.0,
        burst: 1.0,
    };
    let mut pools = TokenPools::new(settings, at(0));
    pools.record_demand(at(5_000), TEAM, quota);
    while pools.take(at(5_000), TEAM, quota, 0).is_ok() {}
    let denial = pools.take(at(5_000), TEAM, quota, 0).expect_err("no token");
    assert!((10..=2_000).contains(&denial.retry_after_ms));
}
