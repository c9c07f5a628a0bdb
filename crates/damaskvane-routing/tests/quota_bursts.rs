//! Histories in which pools that use an unused burst come close to their bound, one for each of the pools' rules.

use damaskvane_core::time::TimeMs;
use damaskvane_routing::quota::{QuotaSettings, TokenPools};
use damaskvane_routing::teams::{Quota, TeamKey};

const TEAM: TeamKey = TeamKey(3);
const WIDE: Quota = Quota {
    rate_per_s: 60.0,
    burst: 600.0,
};
const FAST: Quota = Quota {
    rate_per_s: 300.0,
    burst: 40.0,
};
const SMALL: Quota = Quota {
    rate_per_s: 3.0,
    burst: 30.0,
};

fn at(ms: u64) -> TimeMs {
    TimeMs::new(ms)
}

fn settings(pools: usize) -> QuotaSettings {
    QuotaSettings {
        pools,
        uses_unused_burst: true,
        ..QuotaSettings::default()
    }
}

fn bound(quota: Quota) -> usize {
    (quota.rate_per_s * 5.0 + quota.burst) as usize
}

fn new_pools(count: usize) -> Vec<TokenPools> {
    let pools = (0..count).map(|_| TokenPools::new(settings(count), at(0)));
    pools.collect()
}

/// Takes all tokens of the pools in each millisecond; returns their number.
fn spend(pools: &mut [TokenPools], quota: Quota, span_ms: core::ops::Range<u64>) -> usize {
    let mut count = 0;
    for ms in span_ms {
        for pool in &mut *pools {
            while pool.take(at(ms), TEAM, quota, 0).is_ok() {
                count += 1;
            }
        }
    }
    count
}

/// Guards against a process that uses an unused burst which its predecessor has used.
#[test]
fn a_restart_after_a_burst_stays_within_the_bound() {
    let mut pools = new_pools(1);
    let before = spend(&mut pools, WIDE, 60_000..60_001);
    assert!(before > 500, "{before}");
    pools[0] = TokenPools::new(settings(1), at(60_001));
    let after = spend(&mut pools, WIDE, 60_001..65_000);
    assert!(before + after <= bound(WIDE), "{before} and {after}");
}

/// Guards against a limit with a higher rate that adds to the burst of the limit before it.
#[test]
fn a_faster_limit_after_a_burst_stays_within_the_larger_bound() {
    let mut pools = new_pools(1);
    let before = spend(&mut pools, WIDE, 60_000..60_001);
    let after = spend(&mut pools, FAST, 60_001..65_000);
    assert!(before + after <= bound(FAST), "{before} and {after}");
}

/// Guards against a pool that refuses its team for a window what a lowered limit allows, since it counts the burst of the
/// limit before it.
#[test]
fn a_lowered_limit_earns_its_rate_at_once() {
    let mut pools = new_pools(1);
    spend(&mut pools, WIDE, 60_000..60_001);
    spend(&mut pools, SMALL, 60_001..60_002);
    let after = spend(&mut pools, SMALL, 60_002..63_002);
    let rate = settings(1).pool_limit(SMALL).rate_per_s;
    assert!(after as f64 >= rate * 3.0 - 1.0, "{after} at {rate}/s");
}

/// Asks the other pools for all that they hold; returns what each lends.
fn borrow_all(pools: &mut [TokenPools], ms: u64) -> Vec<f64> {
    spend(&mut pools[..1], WIDE, ms..ms + 1);
    for _ in 0..10_000 {
        pools[0].record_demand(at(ms), TEAM, WIDE);
    }
    let lenders = pools.len() - 1;
    let each = pools[0].reserve(at(ms), TEAM, WIDE, lenders, 0);
    assert!(each > 20.0, "{each}");
    let lenders = pools[1..].iter_mut();
    lenders
        .map(|one| one.lend(at(ms), TEAM, WIDE, each))
        .collect()
}

/// Guards against a raised rate beside tokens that are on their way to the pool.
#[test]
fn a_late_loan_stays_within_the_bound() {
    let mut pools = new_pools(2);
    let lent = borrow_all(&mut pools, 60_000);
    spend(&mut pools, WIDE, 60_000..80_000);
    let before = spend(&mut pools, WIDE, 80_000..84_999);
    pools[0].receive(at(84_999), TEAM, WIDE, lent[0]);
    let after = spend(&mut pools, WIDE, 84_999..85_000);
    assert!(before + after <= bound(WIDE), "{before} and {after}");
}

/// Guards against loans of which only the last one counts, since those before it were used as they arrived.
#[test]
fn loans_that_are_used_one_by_one_stay_within_the_bound() {
    let mut pools = new_pools(5);
    let lent = borrow_all(&mut pools, 60_000);
    spend(&mut pools, WIDE, 60_000..80_000);
    let mut used = 0;
    for (ms, lent) in (80_000..).zip(&lent) {
        pools[0].receive(at(ms), TEAM, WIDE, *lent);
        used += spend(&mut pools, WIDE, ms..ms + 1);
    }
    let after = spend(&mut pools, WIDE, 80_004..85_000);
    assert!(used + after <= bound(WIDE), "{used} and {after}");
}

/// Guards against tokens that arrive after their round, when nothing counts them any more.
#[test]
fn a_loan_that_was_given_up_is_lost() {
    let mut pools = new_pools(2);
    let lent = borrow_all(&mut pools, 60_000);
    pools[0].release(TEAM, 1_000.0);
    spend(&mut pools, WIDE, 60_000..80_000);
    pools[0].receive(at(79_999), TEAM, WIDE, lent[0]);
    assert_eq!(spend(&mut pools[..1], WIDE, 79_999..80_000), 0);
}

/// Guards against tokens of a higher limit that arrive after it was lowered.
#[test]
fn loans_of_a_higher_limit_stay_within_the_lower_bound() {
    let mut pools = new_pools(5);
    let lent = borrow_all(&mut pools, 60_000);
    spend(&mut pools, SMALL, 60_000..60_001);
    let mut used = 0;
    for (ms, lent) in (60_001..).zip(&lent) {
        let mut left = *lent;
        while left > 0.0 {
            pools[0].receive(at(ms), TEAM, SMALL, left.min(2.0));
            used += spend(&mut pools[..1], SMALL, ms..ms + 1);
            left -= 2.0;
        }
    }
    assert!(used <= bound(SMALL), "{used}");
}

/// Takes all tokens and returns each just before its end, for a minute; returns how many are alive then.
fn take_and_return(pools: &mut [TokenPools]) -> usize {
    let mut taken = std::collections::VecDeque::new();
    spend(pools, WIDE, 60_000..70_000);
    for ms in 70_000..130_000 {
        while taken.front().is_some_and(|taken_ms| taken_ms + 98 <= ms) {
            taken.pop_front();
            pools[0].give_back(at(ms), TEAM, WIDE);
            if pools[0].take(at(ms), TEAM, WIDE, 0).is_ok() {
                taken.push_back(ms);
            }
        }
        while pools[0].take(at(ms), TEAM, WIDE, 0).is_ok() {
            taken.push_back(ms);
        }
    }
    taken.len()
}

/// Guards against tokens that live on since each returns before its end, while others are earned.
#[test]
fn tokens_that_always_return_stay_within_the_bound() {
    let mut pools = new_pools(1);
    let alive = take_and_return(&mut pools);
    let after = spend(&mut pools, WIDE, 130_000..134_900);
    assert!(alive + after <= bound(WIDE), "{alive} and {after}");
}

/// Guards against returned tokens that a new process does not know of.
#[test]
fn tokens_that_always_returned_before_a_restart_stay_within_the_bound() {
    let mut pools = new_pools(1);
    let alive = take_and_return(&mut pools);
    pools[0] = TokenPools::new(settings(1), at(130_000));
    let after = spend(&mut pools, WIDE, 130_000..134_900);
    assert!(alive + after <= bound(WIDE), "{alive} and {after}");
}

/// Guards against messages that return tokens which were never taken, or long ago.
#[test]
fn only_tokens_that_were_taken_lately_return() {
    let mut pools = new_pools(1);
    spend(&mut pools, WIDE, 60_000..61_000);
    pools[0].set_settings(settings(1));
    let level = |pools: &mut [TokenPools], ms| {
        let state = pools[0].state(at(ms), TEAM, WIDE);
        state.map_or(0.0, |state| state.level)
    };
    let before = level(&mut pools, 61_300);
    for _ in 0..20 {
        pools[0].give_back(at(61_300), TEAM, WIDE);
    }
    assert!(level(&mut pools, 61_300) <= before);
}

/// Returns the tokens of a pool in half a second, in which it asks another one again and again and gets nothing.
fn spent_beside_rounds(uses_unused_burst: bool, asks: bool) -> usize {
    let settings = QuotaSettings {
        uses_unused_burst,
        ..settings(2)
    };
    let mut pools = [TokenPools::new(settings, at(0))];
    spend(&mut pools, WIDE, 60_000..70_000);
    let mut spent = 0;
    for from_ms in (70_000..70_500).step_by(50) {
        for _ in 0..10_000 {
            pools[0].record_demand(at(from_ms), TEAM, WIDE);
        }
        if asks {
            pools[0].reserve(at(from_ms), TEAM, WIDE, 1, 0);
        }
        spent += spend(&mut pools, WIDE, from_ms..from_ms + 50);
        pools[0].release(TEAM, 1_000.0);
    }
    spent + spend(&mut pools, WIDE, 70_500..70_501)
}

/// Guards against a pool that loses what it earns while others have not yet replied.
#[test]
fn a_pool_earns_while_it_waits_for_loans() {
    for uses_unused_burst in [false, true] {
        let alone = spent_beside_rounds(uses_unused_burst, false);
        let beside = spent_beside_rounds(uses_unused_burst, true);
        assert!(beside + 1 >= alone, "{beside} and {alone}");
    }
}
