//! Encoded form of what servers have said. Postcard encodes fields and variants by position.

use damaskvane_core::time::SpanMs;
use damaskvane_routing::pool::{PeerStatement, RetryAfter, ServerKey};
use serde::{Deserialize, Serialize};

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum StatementWire {
    Leaving { server: u32, started_unix_ms: u64 },
    SenderRests { server: u32, remaining_ms: u64 },
    RecipientRests { server: u32, remaining_ms: u64 },
}

impl StatementWire {
    pub(super) const fn of(statement: &PeerStatement) -> Self {
        match *statement {
            PeerStatement::Leaving {
                server,
                started_unix_ms,
            } => Self::Leaving {
                server: server.get(),
                started_unix_ms,
            },
            PeerStatement::SenderRests { server, remaining } => Self::SenderRests {
                server: server.get(),
                remaining_ms: remaining.get(),
            },
            PeerStatement::RecipientRests { server, remaining } => Self::RecipientRests {
                server: server.get(),
                remaining_ms: remaining.get(),
            },
        }
    }

    /// Returns the statement, or `None` if it names a longer time than a server may ask for.
    pub(super) fn into_statement(self) -> Option<PeerStatement> {
        let span = |ms| Some(SpanMs::new(ms)).filter(|span| *span <= RetryAfter::MAX);
        Some(match self {
            Self::Leaving {
                server,
                started_unix_ms,
            } => PeerStatement::Leaving {
                server: ServerKey::from_wire(server),
                started_unix_ms,
            },
            Self::SenderRests {
                server,
                remaining_ms,
            } => PeerStatement::SenderRests {
                server: ServerKey::from_wire(server),
                remaining: span(remaining_ms)?,
            },
            Self::RecipientRests {
                server,
                remaining_ms,
            } => PeerStatement::RecipientRests {
                server: ServerKey::from_wire(server),
                remaining: span(remaining_ms)?,
            },
        })
    }
}
