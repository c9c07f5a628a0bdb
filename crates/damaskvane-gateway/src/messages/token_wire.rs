//! Encoded form of messages on tokens of servers. Postcard encodes fields and variants by position.

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_routing::limit::RequestRate;
use damaskvane_routing::pool::ServerKey;
use serde::{Deserialize, Serialize};

use crate::messages::{
    LeaseRequest, LimitClaim, TokenMessage, TokenOutcome, TokenReply, TokenRequest,
};

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum TokenWire {
    Request {
        id: u32,
        claim: ClaimWire,
        priority: u32,
        is_relayed: bool,
    },
    Lease {
        id: u32,
        claim: ClaimWire,
        instance: ids::InstanceId,
    },
    Reply {
        id: u32,
        outcome: OutcomeWire,
    },
    Return {
        server: u32,
    },
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct ClaimWire {
    server: u32,
    rate_per_s: f64,
    age_ms: u64,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) enum OutcomeWire {
    Granted,
    Refused { wait_ms: u64 },
    Lent { millitokens: u32 },
    NotHeld,
}

impl TokenWire {
    pub(super) fn of(message: &TokenMessage) -> Self {
        match message {
            TokenMessage::Request(request) => Self::Request {
                id: request.id,
                claim: ClaimWire::of(request.claim),
                priority: request.priority,
                is_relayed: request.is_relayed,
            },
            TokenMessage::Lease(request) => Self::Lease {
                id: request.id,
                claim: ClaimWire::of(request.claim),
                instance: request.instance.clone(),
            },
            TokenMessage::Reply(reply) => Self::Reply {
                id: reply.id,
                outcome: OutcomeWire::of(reply.outcome),
            },
            TokenMessage::Return(server) => Self::Return {
                server: server.get(),
            },
        }
    }

    /// Returns the message, or `None` if its limit is no rate.
    pub(super) fn into_message(self) -> Option<TokenMessage> {
        Some(match self {
            Self::Request {
                id,
                claim,
                priority,
                is_relayed,
            } => TokenMessage::Request(TokenRequest {
                id,
                claim: claim.into_claim()?,
                priority,
                is_relayed,
            }),
            Self::Lease {
                id,
                claim,
                instance,
            } => TokenMessage::Lease(LeaseRequest {
                id,
                claim: claim.into_claim()?,
                instance,
            }),
            Self::Reply { id, outcome } => TokenMessage::Reply(TokenReply {
                id,
                outcome: outcome.into_outcome(),
            }),
            Self::Return { server } => TokenMessage::Return(ServerKey::from_wire(server)),
        })
    }
}

impl ClaimWire {
    const fn of(claim: LimitClaim) -> Self {
        Self {
            server: claim.server.get(),
            rate_per_s: claim.rate.per_s(),
            age_ms: claim.age.get(),
        }
    }

    fn into_claim(self) -> Option<LimitClaim> {
        Some(LimitClaim {
            server: ServerKey::from_wire(self.server),
            rate: RequestRate::new(self.rate_per_s)?,
            age: SpanMs::new(self.age_ms),
        })
    }
}

impl OutcomeWire {
    const fn of(outcome: TokenOutcome) -> Self {
        match outcome {
            TokenOutcome::Granted => Self::Granted,
            TokenOutcome::Refused { wait_ms } => Self::Refused { wait_ms },
            TokenOutcome::Lent { millitokens } => Self::Lent { millitokens },
            TokenOutcome::NotHeld => Self::NotHeld,
        }
    }

    const fn into_outcome(self) -> TokenOutcome {
        match self {
            Self::Granted => TokenOutcome::Granted,
            Self::Refused { wait_ms } => TokenOutcome::Refused { wait_ms },
            Self::Lent { millitokens } => TokenOutcome::Lent { millitokens },
            Self::NotHeld => TokenOutcome::NotHeld,
        }
    }
}
