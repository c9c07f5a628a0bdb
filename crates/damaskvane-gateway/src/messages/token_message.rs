//! Messages between instances on the tokens of a server with a limit.

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_routing::limit::RequestRate;
use damaskvane_routing::pool::ServerKey;

/// What the sender of a message knows of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitClaim {
    /// The server.
    pub server: ServerKey,
    /// Its limit.
    pub rate: RequestRate,
    /// Time since the request was sent whose response named the limit.
    pub age: SpanMs,
}

/// A request for one token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenRequest {
    /// Number by which the reply names the request.
    pub id: u32,
    /// The server and its limit.
    pub claim: LimitClaim,
    /// Priority of the client's request; 0 is the most urgent.
    pub priority: u32,
    /// Whether a holder that has lent its share sends this for another instance.
    pub is_relayed: bool,
}

/// A request for the share of a holder.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseRequest {
    /// Number by which the reply names the request.
    pub id: u32,
    /// The server and its limit.
    pub claim: LimitClaim,
    /// The holder that asks.
    pub instance: ids::InstanceId,
}

/// The reply to a request for a token or a share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenReply {
    /// Number of the request.
    pub id: u32,
    /// What the sender gives.
    pub outcome: TokenOutcome,
}

/// What a holder gives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TokenOutcome {
    /// One token.
    Granted,
    /// No token.
    Refused {
        /// Time after which the asking instance should ask again.
        wait_ms: u64,
    },
    /// Its share, for the length of a lease.
    Lent {
        /// Thousandths of the tokens that go with it.
        millitokens: u32,
    },
    /// Nothing: it has no share of the server's tokens.
    NotHeld,
}

/// A message between two instances on tokens of a server.
#[derive(Debug, Clone, PartialEq)]
pub enum TokenMessage {
    /// A request for a token.
    Request(TokenRequest),
    /// A request for a share.
    Lease(LeaseRequest),
    /// The reply to either.
    Reply(TokenReply),
    /// A token that was not used and returns to its holder.
    Return(ServerKey),
}
