//! Encoded form of messages on quotas. Postcard encodes fields and variants by position.

use damaskvane_routing::quota::MOST_URGENT;
use damaskvane_routing::teams::TeamKey;
use serde::{Deserialize, Serialize};

use crate::quota::{QuotaMessage, QuotaReply, QuotaRequest, TokenUse};

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum QuotaWire {
    Request {
        id: u32,
        team: u64,
        millitokens: u32,
        is_for_pool: bool,
    },
    Reply {
        id: u32,
        millitokens: u32,
        retry_after_ms: u32,
    },
    Return {
        team: u64,
    },
    /// A request for tokens that is not the most urgent; an older process can't decode it.
    RequestOfPriority {
        id: u32,
        team: u64,
        millitokens: u32,
        is_for_pool: bool,
        priority: u32,
    },
}

impl QuotaWire {
    pub(super) const fn of(message: &QuotaMessage) -> Self {
        match message {
            QuotaMessage::Request(request) if request.priority > MOST_URGENT => {
                Self::RequestOfPriority {
                    id: request.id,
                    team: request.team.0,
                    millitokens: request.millitokens,
                    is_for_pool: matches!(request.token_use, TokenUse::Pool),
                    priority: request.priority,
                }
            }
            QuotaMessage::Request(request) => Self::Request {
                id: request.id,
                team: request.team.0,
                millitokens: request.millitokens,
                is_for_pool: matches!(request.token_use, TokenUse::Pool),
            },
            QuotaMessage::Reply(reply) => Self::Reply {
                id: reply.id,
                millitokens: reply.millitokens,
                retry_after_ms: reply.retry_after_ms,
            },
            QuotaMessage::Return(team) => Self::Return { team: team.0 },
        }
    }

    pub(super) const fn into_message(self) -> QuotaMessage {
        match self {
            Self::Request {
                id,
                team,
                millitokens,
                is_for_pool,
            } => request(id, team, millitokens, is_for_pool, MOST_URGENT),
            Self::RequestOfPriority {
                id,
                team,
                millitokens,
                is_for_pool,
                priority,
            } => request(id, team, millitokens, is_for_pool, priority),
            Self::Reply {
                id,
                millitokens,
                retry_after_ms,
            } => QuotaMessage::Reply(QuotaReply {
                id,
                millitokens,
                retry_after_ms,
            }),
            Self::Return { team } => QuotaMessage::Return(TeamKey(team)),
        }
    }
}

const fn request(
    id: u32,
    team: u64,
    millitokens: u32,
    is_for_pool: bool,
    priority: u32,
) -> QuotaMessage {
    let token_use = if is_for_pool {
        TokenUse::Pool
    } else {
        TokenUse::Request
    };
    QuotaMessage::Request(QuotaRequest {
        id,
        team: TeamKey(team),
        millitokens,
        token_use,
        priority,
    })
}
