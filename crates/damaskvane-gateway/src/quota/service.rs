//! Serves the pools that this instance holds to other instances.

use std::net;
use std::rc::Rc;

use damaskvane_routing::quota::{Denial, PoolState};
use damaskvane_routing::teams::{Quota, TeamKey};

use crate::messages::Message;
use crate::node::Node;
use crate::quota::lending;
use crate::quota::token::{QuotaMessage, QuotaReply, QuotaRequest, TokenUse};

/// Handles a message of the instance at the address `from`.
pub fn handle_message(node: &Rc<Node>, from: net::SocketAddr, message: QuotaMessage) {
    match message {
        QuotaMessage::Request(request) => handle_request(node, from, request),
        QuotaMessage::Reply(reply) => handle_reply(node, reply),
        QuotaMessage::Return(team) => handle_return(node, team),
    }
}

/// Handles a request for tokens of another instance.
fn handle_request(node: &Rc<Node>, from: net::SocketAddr, request: QuotaRequest) {
    let Some(quota) = held_quota(node, request.team) else {
        reply(node, from, request.id, 0, 0);
        return;
    };
    match request.token_use {
        TokenUse::Pool => {
            let asked = f64::from(request.millitokens) / 1_000.0;
            let now = node.continuous_now();
            let mut pools = node.quotas.pools.borrow_mut();
            let lent = pools.lend(now, request.team, quota, asked);
            drop(pools);
            reply(node, from, request.id, (lent * 1_000.0) as u32, 0);
        }
        TokenUse::Request => {
            let node = Rc::clone(node);
            tokio::task::spawn_local(async move {
                let taken =
                    lending::take_or_borrow(&node, request.team, quota, request.priority).await;
                match taken {
                    Ok(()) => reply(&node, from, request.id, 1_000, 0),
                    Err(Denial { retry_after_ms }) => {
                        let retry_after_ms = u32::try_from(retry_after_ms).unwrap_or(u32::MAX);
                        reply(&node, from, request.id, 0, retry_after_ms.max(1));
                    }
                }
            });
        }
    }
}

/// Passes a reply to the task that waits for it.
fn handle_reply(node: &Rc<Node>, reply: QuotaReply) {
    let waiting = node.quotas.pending.borrow_mut().remove(&reply.id);
    if let Some(waiting) = waiting {
        // The task may have stopped waiting; the tokens are lost then.
        let _ = waiting.send(reply);
    }
}

/// Puts a token back into a pool of this instance.
pub(super) fn handle_return(node: &Rc<Node>, team: TeamKey) {
    if let Some(quota) = held_quota(node, team) {
        let now = node.continuous_now();
        let mut pools = node.quotas.pools.borrow_mut();
        pools.give_back(now, team, quota);
    }
}

/// Returns the state of the pool of a team in this zone, or `None` if another instance holds it.
pub fn pool_state(node: &Node, team: TeamKey) -> Option<PoolState> {
    let quota = held_quota(node, team)?;
    let mut pools = node.quotas.pools.borrow_mut();
    pools.state(node.continuous_now(), team, quota)
}

/// Returns the quota of a team whose pool this instance holds.
fn held_quota(node: &Node, team: TeamKey) -> Option<Quota> {
    let settings = node.settings();
    let holders = Rc::clone(&node.quotas.holders.borrow());
    let holder = holders.holder(&settings.zone, team)?;
    if holder.instance != settings.instance {
        return None;
    }
    let configuration = node.configuration()?;
    configuration.teams()?.team(team)?.quota
}

fn reply(node: &Rc<Node>, to: net::SocketAddr, id: u32, millitokens: u32, retry_after_ms: u32) {
    let reply = QuotaReply {
        id,
        millitokens,
        retry_after_ms,
    };
    let message = Message::Quota(QuotaMessage::Reply(reply));
    node.outbox.send(message, vec![to]);
}
