//! Pools that lend tokens to each other: the design that was not built.

use damaskvane_core::time::TimeMs;
use damaskvane_routing::quota::{PoolLimit, TokenPool};

use super::event::Event;
use super::instance::{Round, Waiter};
use super::tokens::apply_claim;
use super::world::World;

/// Time for the replies of a round of borrowing.
const ROUND_MS: u64 = 70;
/// Time after a round that brought too little until the next one.
const BACKOFF_MS: u64 = 250;

impl World {
    /// Calls `use_pool` with the pool of a holder, unless it knows of no limit.
    fn with_pool<T>(
        &mut self,
        at: usize,
        use_pool: impl FnOnce(TimeMs, &mut TokenPool, PoolLimit) -> T,
    ) -> Option<T> {
        let now = self.now();
        let rate = self.instances[at].limit.rate()?;
        let limit = self.settings.design.pool_limit(rate, self.holders());
        let pool = &mut self.instances[at].pool;
        Some(use_pool(
            now,
            pool.get_or_insert_with(|| TokenPool::new(now)),
            limit,
        ))
    }

    pub(super) fn take_or_borrow(&mut self, at: usize, waiter: Waiter) {
        let taken = self.with_pool(at, |now, pool, limit| {
            pool.record_demand(now);
            pool.take(now, limit, 0)
        });
        if taken != Some(false) {
            self.reply(at, waiter, 0);
        } else if let Some(round) = &mut self.instances[at].round {
            round.waiters.push(waiter);
        } else if !self.start_round(at, waiter) {
            self.refuse(at, waiter);
        }
    }

    fn refuse(&mut self, at: usize, waiter: Waiter) {
        let wait_ms = self.with_pool(at, |now, pool, limit| pool.retry_after_ms(now, limit, 0));
        self.reply(at, waiter, wait_ms.unwrap_or(1).clamp(20, 500));
    }

    /// Asks the other pools for tokens; returns whether it did.
    fn start_round(&mut self, at: usize, waiter: Waiter) -> bool {
        let now_ms = self.now_ms;
        let is_due = now_ms >= self.instances[at].next_round_ms;
        let lenders: Vec<usize> = (0..self.holders()).filter(|one| *one != at).collect();
        if !self.settings.design.moves_tokens() || !is_due || lenders.is_empty() {
            return false;
        }
        let each = self.with_pool(at, |now, pool, limit| {
            pool.reserve(now, limit, lenders.len(), 0)
        });
        let each = each.unwrap_or(0.0);
        let id = self.next_id();
        self.instances[at].round = Some(Round {
            id,
            reserved: each * lenders.len() as f64,
            received: 0.0,
            outstanding: lenders.len(),
            waiters: vec![waiter],
        });
        for to in lenders {
            let borrow = Event::Borrow {
                from: at,
                to,
                round: id,
                tokens: each,
            };
            self.send(at, to, borrow);
        }
        self.schedule(now_ms + ROUND_MS, Event::RoundEnd { at, round: id });
        true
    }

    pub(super) fn lend(&mut self, from: usize, to: usize, round: u64, tokens: f64) {
        let asker = self.instances[from].limit;
        let now = self.now();
        let lender = &mut self.instances[to].limit;
        apply_claim(lender, now, asker);
        let lent = self.with_pool(to, |now, pool, limit| pool.lend(now, limit, tokens));
        let loan = Event::Loan {
            to: from,
            round,
            tokens: lent.unwrap_or(tokens),
        };
        self.send(to, from, loan);
    }

    pub(super) fn receive_loan(&mut self, to: usize, id: u64, tokens: f64) {
        let round = self.instances[to].round.as_mut();
        let Some(round) = round.filter(|round| round.id == id) else {
            return;
        };
        round.received += tokens;
        round.outstanding -= 1;
        let is_last = round.outstanding == 0;
        let waiters = core::mem::take(&mut round.waiters);
        self.with_pool(to, |now, pool, limit| pool.receive(now, limit, tokens));
        let mut left = Vec::new();
        for waiter in waiters {
            let taken = self.with_pool(to, |now, pool, limit| pool.take(now, limit, 0));
            if taken == Some(false) {
                left.push(waiter);
            } else {
                self.reply(to, waiter, 0);
            }
        }
        if let Some(round) = &mut self.instances[to].round {
            round.waiters = left;
        }
        if is_last {
            self.end_round(to, id);
        }
    }

    pub(super) fn end_round(&mut self, at: usize, id: u64) {
        let now_ms = self.now_ms;
        let round = self.instances[at].round.take_if(|round| round.id == id);
        let Some(round) = round else {
            return;
        };
        if round.received < 1.0 {
            self.instances[at].next_round_ms = now_ms + BACKOFF_MS;
        }
        self.with_pool(at, |_, pool, _| {
            pool.release(round.reserved - round.received);
        });
        for waiter in round.waiters {
            self.refuse(at, waiter);
        }
    }
}
