//! The pools of all teams that one instance holds.

use std::collections::HashMap;

use damaskvane_core::time::TimeMs;

use crate::quota::{PoolLimit, PoolState, QuotaSettings, TokenPool};
use crate::teams::{Quota, TeamKey};

/// A refusal, because the team has used its quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Denial {
    /// Time after which the caller should retry.
    pub retry_after_ms: u64,
}

/// The pools that this instance holds, one for each team of which requests arrived.
#[derive(Debug, Clone, Default)]
pub struct TokenPools {
    settings: QuotaSettings,
    earns_from: TimeMs,
    pools: HashMap<TeamKey, TokenPool>,
}

impl TokenPools {
    /// Creates pools that earn tokens from `earns_from` on.
    #[must_use]
    pub fn new(settings: QuotaSettings, earns_from: TimeMs) -> Self {
        Self {
            settings,
            earns_from,
            pools: HashMap::new(),
        }
    }

    /// Replaces the bound; pools that hold more than it allows lose the rest.
    pub const fn set_settings(&mut self, settings: QuotaSettings) {
        self.settings = settings;
    }

    /// Lets the pools earn nothing before a point in time; those that exist are emptied.
    pub fn earn_from(&mut self, from: TimeMs) {
        self.earns_from = from;
        self.pools.clear();
    }

    /// Takes a token for a request of a team, with its priority, 0 being the most urgent.
    ///
    /// # Errors
    ///
    /// Returns the time after which a caller should retry if the pool has no token for this priority.
    pub fn take(
        &mut self,
        now: TimeMs,
        team: TeamKey,
        quota: Quota,
        priority: u32,
    ) -> Result<(), Denial> {
        let (pool, limit) = self.pool(team, quota);
        if pool.take(now, limit, priority) {
            return Ok(());
        }
        Err(Denial {
            retry_after_ms: pool.retry_after_ms(now, limit, priority),
        })
    }

    /// Counts a request of a team that needs a token.
    pub fn record_demand(&mut self, now: TimeMs, team: TeamKey, quota: Quota) {
        self.pool(team, quota).0.record_demand(now);
    }

    /// Puts a token back that was not used.
    pub fn give_back(&mut self, now: TimeMs, team: TeamKey, quota: Quota) {
        let (pool, limit) = self.pool(team, quota);
        pool.give_back(now, limit);
    }

    /// Takes out tokens for another pool of the team.
    pub fn lend(&mut self, now: TimeMs, team: TeamKey, quota: Quota, asked: f64) -> f64 {
        let (pool, limit) = self.pool(team, quota);
        pool.lend(now, limit, asked)
    }

    /// Returns how many tokens to ask each of `lenders` other pools for, and reserves room for them.
    /// A request of this priority waits for them.
    pub fn reserve(
        &mut self,
        now: TimeMs,
        team: TeamKey,
        quota: Quota,
        lenders: usize,
        priority: u32,
    ) -> f64 {
        let (pool, limit) = self.pool(team, quota);
        pool.reserve(now, limit, lenders, priority)
    }

    /// Adds tokens that another pool lent.
    pub fn receive(&mut self, now: TimeMs, team: TeamKey, quota: Quota, lent: f64) {
        let (pool, limit) = self.pool(team, quota);
        pool.receive(now, limit, lent);
    }

    /// Gives up room that was reserved for tokens which did not arrive.
    pub fn release(&mut self, team: TeamKey, tokens: f64) {
        if let Some(pool) = self.pools.get_mut(&team) {
            pool.release(tokens);
        }
    }

    /// Returns the tokens that all pools have earned since the last call, except those that were emptied meanwhile.
    pub fn take_earned(&mut self) -> f64 {
        self.pools.values_mut().map(TokenPool::take_earned).sum()
    }

    /// Returns the state of a team's pool, or `None` if this instance has not used it.
    pub fn state(&mut self, now: TimeMs, team: TeamKey, quota: Quota) -> Option<PoolState> {
        let limit = self.settings.pool_limit(quota);
        let pool = self.pools.get_mut(&team)?;
        Some(pool.state(now, limit))
    }

    fn pool(&mut self, team: TeamKey, quota: Quota) -> (&mut TokenPool, PoolLimit) {
        let earns_from = self.earns_from;
        let pool = self.pools.entry(team);
        let pool = pool.or_insert_with(|| TokenPool::new(earns_from));
        (pool, self.settings.pool_limit(quota))
    }
}
