//! Serves the tokens that this instance holds to other instances.

use std::net;
use std::rc::Rc;

use damaskvane_routing::quota::Denial;

use crate::messages::{LeaseRequest, TokenMessage, TokenOutcome, TokenReply, TokenRequest};
use crate::node::Node;
use crate::server_limits::asking::{self, send};
use crate::server_limits::holders::Holders;
use crate::server_limits::reports;

/// Handles a message of the instance at the address `from`.
pub(crate) fn handle_message(node: &Rc<Node>, from: net::SocketAddr, message: TokenMessage) {
    match message {
        TokenMessage::Request(request) => handle_request(node, from, request),
        TokenMessage::Lease(request) => {
            let outcome = lend(node, from, &request);
            reply(node, from, request.id, outcome);
        }
        TokenMessage::Reply(reply) => {
            let pending = &node.server_tokens.pending;
            let waiting = pending.borrow_mut().remove(&reply.id);
            if let Some(waiting) = waiting {
                // The task may have stopped waiting; the tokens are lost then.
                let _ = waiting.send(reply.outcome);
            }
        }
        TokenMessage::Return(server) => asking::give_back_own(node, server),
    }
}

fn handle_request(node: &Rc<Node>, from: net::SocketAddr, request: TokenRequest) {
    let server = request.claim.server;
    if !reports::apply_claim(node, from, request.claim) {
        reply(node, from, request.id, TokenOutcome::Granted);
        return;
    }
    let taken = asking::take_own(node, server, request.priority);
    if taken.is_some() || request.is_relayed {
        reply(node, from, request.id, outcome_of(taken));
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let taken = asking::relay(&node, server, request.priority).await;
        reply(&node, from, request.id, outcome_of(taken));
    });
}

/// Lends this instance's share of a server's tokens.
fn lend(node: &Rc<Node>, from: net::SocketAddr, request: &LeaseRequest) -> TokenOutcome {
    let server = request.claim.server;
    if !reports::apply_claim(node, from, request.claim) {
        return TokenOutcome::NotHeld;
    }
    let holders = Holders::of(node, server);
    let own = holders.position(&node.settings().instance);
    let asking = holders.position(&request.instance);
    let (Some(own), Some(asking), Some(terms)) = (own, asking, holders.terms(node, server)) else {
        return TokenOutcome::NotHeld;
    };
    let now = node.continuous_now();
    let mut shares = node.server_tokens.shares.borrow_mut();
    let share = shares.share(now, server);
    let tokens = share.lend(now, terms, &request.instance, asking < own);
    tokens.map_or(TokenOutcome::NotHeld, asking::lent)
}

fn outcome_of(taken: Option<Result<(), Denial>>) -> TokenOutcome {
    match taken {
        Some(Ok(())) => TokenOutcome::Granted,
        Some(Err(Denial { retry_after_ms })) => TokenOutcome::Refused {
            wait_ms: retry_after_ms,
        },
        None => TokenOutcome::NotHeld,
    }
}

fn reply(node: &Node, to: net::SocketAddr, id: u32, outcome: TokenOutcome) {
    send(node, to, TokenMessage::Reply(TokenReply { id, outcome }));
}
