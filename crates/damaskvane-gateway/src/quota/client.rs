//! Acquires tokens for this instance's requests.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::quota::{Denial, Holder, MOST_URGENT};
use damaskvane_routing::teams::{Quota, TeamKey};
use rand::seq::SliceRandom;
use tokio::sync::oneshot;

use crate::messages::Message;
use crate::node::Node;
use crate::quota::token::{QuotaMessage, QuotaReply, QuotaRequest, Token, TokenUse};
use crate::quota::{lending, service};

/// Time for a reply of the holder in this instance's zone, which may first borrow from other zones.
const OWN_ZONE_TIMEOUT: Duration = Duration::from_millis(90);
/// Time for a reply of a holder in another zone.
const OTHER_ZONE_TIMEOUT: Duration = Duration::from_millis(95);
/// Time for which a holder that didn't reply is not asked.
const UNRESPONSIVE: SpanMs = SpanMs::new(1_000);
/// Largest number of holders that are asked for one token.
const MAX_HOLDERS: usize = 3;

/// Reason why no token was acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The team has used its quota.
    Used {
        /// Time after which the caller should retry.
        retry_after_ms: u64,
    },
    /// No holder of a pool of the team replied.
    Unreachable,
}

/// Acquires a token for one request of a team: from the pool of this instance's zone, or if its holder doesn't reply,
/// from the pool of another zone. Priority 0 is the most urgent.
///
/// # Errors
///
/// Returns the reason if there is no token.
pub async fn acquire(
    node: &Rc<Node>,
    team: TeamKey,
    quota: Quota,
    priority: u32,
) -> Result<Token, QuotaRefusal> {
    let settings = node.settings();
    let ttl = SpanMs::new(settings.quota().token_ttl_ms);
    for (holder, is_own_zone) in holders(node, team) {
        let expires_at = node.continuous_now() + ttl;
        let taken = if holder.instance == settings.instance {
            Some(lending::take_or_borrow(node, team, quota, priority).await)
        } else {
            let timeout = if is_own_zone {
                OWN_ZONE_TIMEOUT
            } else {
                OTHER_ZONE_TIMEOUT
            };
            request_token(node, &holder, team, priority, timeout).await
        };
        let token = Token {
            team,
            holder: holder.instance,
            expires_at,
        };
        match taken {
            Some(Ok(())) if token.is_usable(node.continuous_now()) => return Ok(token),
            Some(Err(denial)) => {
                return Err(QuotaRefusal::Used {
                    retry_after_ms: denial.retry_after_ms,
                });
            }
            Some(Ok(())) => count_expired(node),
            None => {}
        }
    }
    Err(QuotaRefusal::Unreachable)
}

/// Puts back a token whose request was certainly not run.
pub fn give_back(node: &Rc<Node>, token: &Token) {
    if !token.is_usable(node.continuous_now()) {
        count_expired(node);
        return;
    }
    if token.holder == node.settings().instance {
        service::handle_return(node, token.team);
        return;
    }
    let holders = Rc::clone(&node.quotas.holders.borrow());
    let mut of_team = holders.holders(token.team);
    if let Some((_, holder)) = of_team.find(|(_, holder)| holder.instance == token.holder) {
        let message = Message::Quota(QuotaMessage::Return(token.team));
        node.outbox.send(message, vec![holder.peer_address]);
    }
}

fn count_expired(node: &Node) {
    let counter = &node.metrics.quota_tokens;
    counter.with_label_values(&["expired"]).inc();
}

/// Returns the holders to ask in order, each with whether it is in this instance's zone: the own zone's first, then
/// those of the own region.
fn holders(node: &Rc<Node>, team: TeamKey) -> Vec<(Holder, bool)> {
    let settings = node.settings();
    let now = node.continuous_now();
    let table = Rc::clone(&node.quotas.holders.borrow());
    let unresponsive = node.quotas.unresponsive.borrow();
    let is_usable = |holder: &Holder| {
        let until = unresponsive.get(&holder.instance);
        until.is_none_or(|until| *until <= now)
    };
    if let Some(own) = table
        .holder(&settings.zone, team)
        .filter(|one| is_usable(one))
        && own.instance == settings.instance
    {
        return vec![(own.clone(), true)];
    }
    let mut found: Vec<_> = table
        .holders(team)
        .filter(|(_, holder)| is_usable(holder))
        .map(|(zone, holder)| {
            let is_other_region = settings.regions.get(zone) != Some(&settings.region);
            (*zone != settings.zone, is_other_region, holder.clone())
        })
        .collect();
    // Instances that lose the same holder use different ones in its place.
    found.shuffle(&mut rand::rng());
    found.sort_by_key(|(is_other_zone, is_other_region, _)| (*is_other_zone, *is_other_region));
    found.truncate(MAX_HOLDERS);
    let found = found.into_iter();
    found
        .map(|(is_other_zone, _, holder)| (holder, !is_other_zone))
        .collect()
}

/// Requests a token; returns `None` if the holder doesn't reply in time or holds no pool of the team.
async fn request_token(
    node: &Rc<Node>,
    holder: &Holder,
    team: TeamKey,
    priority: u32,
    timeout: Duration,
) -> Option<Result<(), Denial>> {
    let request = QuotaRequest {
        id: node.quotas.next_id(),
        team,
        millitokens: 1_000,
        token_use: TokenUse::Request,
        priority: if node.settings().quota_uses_unused_burst {
            priority
        } else {
            MOST_URGENT
        },
    };
    let pending = PendingReply::request(node, holder, request);
    let Some(reply) = pending.receive(timeout).await else {
        let until: TimeMs = node.continuous_now() + UNRESPONSIVE;
        let mut unresponsive = node.quotas.unresponsive.borrow_mut();
        unresponsive.insert(holder.instance.clone(), until);
        return None;
    };
    if reply.millitokens > 0 {
        return Some(Ok(()));
    }
    let retry_after_ms = u64::from(reply.retry_after_ms);
    (retry_after_ms > 0).then_some(Err(Denial { retry_after_ms }))
}

/// A request for tokens whose reply has not arrived. Dropping it gives the reply up, and the tokens in it.
pub(super) struct PendingReply {
    node: Rc<Node>,
    holder: ids::InstanceId,
    id: u32,
    receiver: oneshot::Receiver<QuotaReply>,
}

impl PendingReply {
    /// Sends a request for tokens.
    pub(super) fn request(node: &Rc<Node>, holder: &Holder, request: QuotaRequest) -> Self {
        let id = request.id;
        let (sender, receiver) = oneshot::channel();
        node.quotas.pending.borrow_mut().insert(id, sender);
        let message = Message::Quota(QuotaMessage::Request(request));
        node.outbox.send(message, vec![holder.peer_address]);
        Self {
            node: Rc::clone(node),
            holder: holder.instance.clone(),
            id,
            receiver,
        }
    }

    /// Waits for the reply.
    pub(super) async fn receive(mut self, timeout: Duration) -> Option<QuotaReply> {
        let received = tokio::time::timeout(timeout, &mut self.receiver).await;
        let reply = received.ok()?.ok();
        if reply.is_some() {
            let mut unresponsive = self.node.quotas.unresponsive.borrow_mut();
            unresponsive.remove(&self.holder);
        }
        reply
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.node.quotas.pending.borrow_mut().remove(&self.id);
    }
}
