//! Asks the holders of a server's tokens for one, and for their shares.

use core::time::Duration;
use std::net;
use std::rc::Rc;

use damaskvane_core::time::SpanMs;
use damaskvane_routing::pool::ServerKey;
use damaskvane_routing::quota::{Denial, Holder, MAX_REPLY, ServerLimitSettings, ShareTerms};
use tokio::sync::oneshot;

use crate::messages::Message;
use crate::messages::{LeaseRequest, LimitClaim, TokenMessage, TokenOutcome, TokenRequest};
use crate::node::Node;
use crate::server_limits::holders::{self, Holders};
use crate::server_tokens::Token;

/// Time for the reply of a holder, which may relay the request.
const ASK_TIMEOUT: Duration = Duration::from_millis(95);
/// Time for the reply to a request that is relayed.
const RELAY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a holder that didn't reply is not asked.
const UNRESPONSIVE: SpanMs = SpanMs::new(1_000);
/// Thousandths of tokens in a token.
const MILLITOKENS: f64 = 1_000.0;

/// Reason why no token was acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokenRefusal {
    /// There is no token now.
    Used {
        /// Time after which to ask again.
        wait_ms: u64,
    },
    /// No holder of the server's tokens replied.
    Unreachable,
}

/// Acquires a token of a server with a limit for one request, from the first of its holders that responds.
pub(crate) async fn acquire(
    node: &Rc<Node>,
    server: ServerKey,
    priority: u32,
) -> Result<Token, TokenRefusal> {
    let ttl = SpanMs::new(ServerLimitSettings::default().token_ttl_ms);
    for holder in Holders::of(node, server).iter() {
        let expires_at = node.continuous_now() + ttl;
        let outcome = if holder.instance == node.settings().instance {
            take_own(node, server, priority)
        } else {
            ask(node, holder, server, priority).await
        };
        let token = Token {
            server,
            holder: holder.instance.clone(),
            expires_at,
        };
        match outcome {
            Some(Ok(())) if node.continuous_now() < expires_at => return Ok(token),
            Some(Err(denial)) => {
                return Err(TokenRefusal::Used {
                    wait_ms: denial.retry_after_ms,
                });
            }
            Some(Ok(())) | None => {}
        }
    }
    Err(TokenRefusal::Unreachable)
}

/// Takes a token of this instance; returns `None` if it has no share, or has lent it.
pub(super) fn take_own(
    node: &Rc<Node>,
    server: ServerKey,
    priority: u32,
) -> Option<Result<(), Denial>> {
    let holders = Holders::of(node, server);
    holders.position(&node.settings().instance)?;
    let terms = holders.terms(node, server)?;
    let now = node.continuous_now();
    let (taken, needs_leases) = {
        let mut shares = node.server_tokens.shares.borrow_mut();
        let share = shares.share(now, server);
        if share.lent_to(now).is_some() {
            return None;
        }
        let needs_leases = share.takes_renewal(now);
        (share.take(now, terms, priority), needs_leases)
    };
    if needs_leases {
        request_leases(node, &holders, server);
    }
    Some(taken)
}

/// Puts back a token whose request was certainly not sent.
pub(crate) fn give_back(node: &Rc<Node>, token: &Token) {
    if node.continuous_now() >= token.expires_at {
        return;
    }
    if token.holder == node.settings().instance {
        give_back_own(node, token.server);
        return;
    }
    let holders = Holders::of(node, token.server);
    let mut holders = holders.iter();
    if let Some(holder) = holders.find(|one| one.instance == token.holder) {
        send(
            node,
            holder.peer_address,
            TokenMessage::Return(token.server),
        );
    }
}

/// Puts a token back into this instance's share.
pub(super) fn give_back_own(node: &Rc<Node>, server: ServerKey) {
    with_share_terms(node, server, |node, terms| {
        let now = node.continuous_now();
        let mut shares = node.server_tokens.shares.borrow_mut();
        shares.share(now, server).give_back(now, terms);
    });
}

fn with_share_terms(node: &Rc<Node>, server: ServerKey, apply: impl FnOnce(&Node, ShareTerms)) {
    let holders = Holders::of(node, server);
    let is_holder = holders.position(&node.settings().instance).is_some();
    if let Some(terms) = holders.terms(node, server).filter(|_| is_holder) {
        apply(node, terms);
    }
}

/// Asks a holder for a token; returns `None` if it doesn't reply in time or has no share.
async fn ask(
    node: &Rc<Node>,
    holder: &Holder,
    server: ServerKey,
    priority: u32,
) -> Option<Result<(), Denial>> {
    if !is_responsive(node, holder) || !holders::is_alive(node, holder) {
        return None;
    }
    let request = |id, claim| {
        TokenMessage::Request(TokenRequest {
            id,
            claim,
            priority,
            is_relayed: false,
        })
    };
    let pending = Pending::send(node, holder, server, request)?;
    let outcome = pending.outcome(ASK_TIMEOUT).await;
    let mut unresponsive = node.server_tokens.unresponsive.borrow_mut();
    if outcome.is_none() {
        let until = node.continuous_now() + UNRESPONSIVE;
        unresponsive.insert(holder.instance.clone(), until);
    } else {
        unresponsive.remove(&holder.instance);
    }
    result_of(outcome?)
}

/// Asks the holder that leases this instance's share, for another instance.
pub(super) async fn relay(
    node: &Rc<Node>,
    server: ServerKey,
    priority: u32,
) -> Option<Result<(), Denial>> {
    let now = node.continuous_now();
    let leader = {
        let mut shares = node.server_tokens.shares.borrow_mut();
        shares.share(now, server).lent_to(now)?.clone()
    };
    let holders = Holders::of(node, server);
    let holder = holders.iter().find(|one| one.instance == leader)?;
    let request = |id, claim| {
        TokenMessage::Request(TokenRequest {
            id,
            claim,
            priority,
            is_relayed: true,
        })
    };
    let pending = Pending::send(node, holder, server, request)?;
    result_of(pending.outcome(RELAY_TIMEOUT).await?)
}

const fn result_of(outcome: TokenOutcome) -> Option<Result<(), Denial>> {
    match outcome {
        TokenOutcome::Granted => Some(Ok(())),
        TokenOutcome::Refused { wait_ms } => Some(Err(Denial {
            retry_after_ms: wait_ms,
        })),
        TokenOutcome::Lent { .. } | TokenOutcome::NotHeld => None,
    }
}

/// Asks all other holders that are alive for their shares.
fn request_leases(node: &Rc<Node>, holders: &Holders, server: ServerKey) {
    let own = &node.settings().instance;
    let others = holders.iter().filter(|one| one.instance != *own);
    for holder in others.filter(|one| holders::is_alive(node, one)) {
        let (node, holder) = (Rc::clone(node), holder.clone());
        tokio::task::spawn_local(async move { request_lease(&node, &holder, server).await });
    }
}

async fn request_lease(node: &Rc<Node>, holder: &Holder, server: ServerKey) {
    let asked_at = node.continuous_now();
    let instance = node.settings().instance.clone();
    let request = |id, claim| {
        TokenMessage::Lease(LeaseRequest {
            id,
            claim,
            instance,
        })
    };
    let Some(pending) = Pending::send(node, holder, server, request) else {
        return;
    };
    let outcome = pending.outcome(MAX_REPLY.to_duration()).await;
    let Some(TokenOutcome::Lent { millitokens }) = outcome else {
        return;
    };
    let tokens = f64::from(millitokens) / MILLITOKENS;
    with_share_terms(node, server, |node, terms| {
        let now = node.continuous_now();
        let mut shares = node.server_tokens.shares.borrow_mut();
        let share = shares.share(now, server);
        share.receive(now, terms, &holder.instance, asked_at, tokens);
    });
}

/// Returns the outcome of lending these tokens with a share.
pub(super) fn lent(tokens: f64) -> TokenOutcome {
    TokenOutcome::Lent {
        millitokens: (tokens * MILLITOKENS) as u32,
    }
}

fn is_responsive(node: &Node, holder: &Holder) -> bool {
    let now = node.continuous_now();
    let unresponsive = node.server_tokens.unresponsive.borrow();
    let until = unresponsive.get(&holder.instance);
    until.is_none_or(|until| *until <= now)
}

pub(super) fn send(node: &Node, recipient: net::SocketAddr, message: TokenMessage) {
    node.outbox.send(Message::Token(message), vec![recipient]);
}

/// A request whose reply has not arrived. Dropping it gives the reply up, and the tokens in it.
struct Pending {
    node: Rc<Node>,
    id: u32,
    receiver: oneshot::Receiver<TokenOutcome>,
}

impl Pending {
    /// Sends a request, which is built from its number and what this instance knows of the limit; returns `None` if the
    /// server has no limit any more.
    fn send(
        node: &Rc<Node>,
        holder: &Holder,
        server: ServerKey,
        request: impl FnOnce(u32, LimitClaim) -> TokenMessage,
    ) -> Option<Self> {
        let claim = claim(node, server)?;
        let id = node.server_tokens.next_id();
        let (sender, receiver) = oneshot::channel();
        let pending = &node.server_tokens.pending;
        pending.borrow_mut().insert(id, sender);
        send(node, holder.peer_address, request(id, claim));
        Some(Self {
            node: Rc::clone(node),
            id,
            receiver,
        })
    }

    async fn outcome(mut self, timeout: Duration) -> Option<TokenOutcome> {
        let received = tokio::time::timeout(timeout, &mut self.receiver).await;
        received.ok()?.ok()
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let pending = &self.node.server_tokens.pending;
        pending.borrow_mut().remove(&self.id);
    }
}

fn claim(node: &Node, server: ServerKey) -> Option<LimitClaim> {
    let now = node.now();
    let state = node.state.borrow();
    let limit = &state.pool.by_key(server)?.availability.limit;
    Some(LimitClaim {
        server,
        rate: limit.rate()?,
        age: limit.age(now),
    })
}
