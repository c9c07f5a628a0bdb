//! Takes tokens from a pool of this instance, which borrows from the pools of other zones if it has too few.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::time::SpanMs;
use damaskvane_routing::quota::{Denial, Holder, MOST_URGENT};
use damaskvane_routing::teams::{Quota, TeamKey};

use crate::node::Node;
use crate::quota::client::PendingReply;
use crate::quota::round::Round;
use crate::quota::token::{QuotaRequest, TokenUse};

/// Time for the replies of a round. Tokens that arrive later are lost.
const ROUND_TIMEOUT: Duration = Duration::from_millis(70);
/// Time after a round that brought too little until the next one: a team that has used its quota has used it in all
/// zones.
const BACKOFF: SpanMs = SpanMs::new(250);
/// The same if pools use an unused burst: tokens that wait in other zones lower the rate there.
const SHORT_BACKOFF: SpanMs = SpanMs::new(100);

/// Takes a token for a request from this instance's pool; waits for a round of borrowing if the pool is empty.
pub(super) async fn take_or_borrow(
    node: &Rc<Node>,
    team: TeamKey,
    quota: Quota,
    priority: u32,
) -> Result<(), Denial> {
    record_demand(node, team, quota);
    let Err(denial) = take(node, team, quota, priority) else {
        return Ok(());
    };
    let Some(round) = join_round(node, team, quota, priority) else {
        return Err(denial);
    };
    loop {
        let progress = round.progress.notified();
        match take(node, team, quota, priority) {
            Ok(()) => return Ok(()),
            Err(denial) if round.is_done.get() => return Err(denial),
            Err(_) => progress.await,
        }
    }
}

fn record_demand(node: &Rc<Node>, team: TeamKey, quota: Quota) {
    let now = node.continuous_now();
    let mut pools = node.quotas.pools.borrow_mut();
    pools.record_demand(now, team, quota);
}

fn take(node: &Rc<Node>, team: TeamKey, quota: Quota, priority: u32) -> Result<(), Denial> {
    let now = node.continuous_now();
    let mut pools = node.quotas.pools.borrow_mut();
    pools.take(now, team, quota, priority)
}

/// Returns the running round of borrowing, or starts one; returns `None` shortly after a round that brought too little.
fn join_round(node: &Rc<Node>, team: TeamKey, quota: Quota, priority: u32) -> Option<Rc<Round>> {
    let now = node.continuous_now();
    let mut rounds = node.quotas.rounds.borrow_mut();
    if let Some(round) = rounds.get(&team) {
        if !round.is_done.get() {
            return Some(Rc::clone(round));
        }
        if now < round.next_at.get() {
            return None;
        }
    }
    let lenders = lenders(node, team);
    if lenders.is_empty() {
        return None;
    }
    let round = Rc::new(Round::default());
    rounds.insert(team, Rc::clone(&round));
    drop(rounds);
    let each = {
        let mut pools = node.quotas.pools.borrow_mut();
        pools.reserve(now, team, quota, lenders.len(), priority)
    };
    let borrowing = borrow(
        Rc::clone(node),
        team,
        quota,
        lenders,
        each,
        Rc::clone(&round),
    );
    tokio::task::spawn_local(borrowing);
    Some(round)
}

fn lenders(node: &Rc<Node>, team: TeamKey) -> Vec<Holder> {
    let settings = node.settings();
    let now = node.continuous_now();
    let table = Rc::clone(&node.quotas.holders.borrow());
    let unresponsive = node.quotas.unresponsive.borrow();
    table
        .holders(team)
        .filter(|(zone, _)| **zone != settings.zone)
        .filter(|(_, holder)| {
            let until = unresponsive.get(&holder.instance);
            until.is_none_or(|until| *until <= now)
        })
        .map(|(_, holder)| holder.clone())
        .collect()
}

/// Asks all lenders at once for `each` tokens, for which room is reserved, and adds what they lend as their replies
/// arrive.
async fn borrow(
    node: Rc<Node>,
    team: TeamKey,
    quota: Quota,
    lenders: Vec<Holder>,
    each: f64,
    round: Rc<Round>,
) {
    let reserved = each * lenders.len() as f64;
    let millitokens = (each * 1_000.0) as u32;
    let (lent, loans) = flume::unbounded();
    if millitokens > 0 {
        for lender in lenders {
            let (node, lent) = (Rc::clone(&node), lent.clone());
            tokio::task::spawn_local(async move {
                let request = QuotaRequest {
                    id: node.quotas.next_id(),
                    team,
                    millitokens,
                    token_use: TokenUse::Pool,
                    priority: MOST_URGENT,
                };
                let pending = PendingReply::request(&node, &lender, request);
                let reply = pending.receive(ROUND_TIMEOUT).await;
                let millitokens = reply.map_or(0, |reply| reply.millitokens);
                let _ = lent.send(f64::from(millitokens) / 1_000.0);
            });
        }
    }
    drop(lent);
    let mut received = 0.0;
    while let Ok(tokens) = loans.recv_async().await {
        received += tokens;
        node.metrics
            .quota_tokens
            .with_label_values(&["borrowed"])
            .inc_by(tokens);
        let now = node.continuous_now();
        let mut pools = node.quotas.pools.borrow_mut();
        pools.receive(now, team, quota, tokens);
        drop(pools);
        round.progress.notify_waiters();
    }
    let mut pools = node.quotas.pools.borrow_mut();
    pools.release(team, reserved - received);
    drop(pools);
    if received < 1.0 {
        let backoff = if node.settings().quota_uses_unused_burst {
            SHORT_BACKOFF
        } else {
            BACKOFF
        };
        round.next_at.set(node.continuous_now() + backoff);
    }
    round.is_done.set(true);
    round.progress.notify_waiters();
}
