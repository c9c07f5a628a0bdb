//! A token of a quota, and the messages that move tokens between instances.

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::teams::TeamKey;

/// The permission to send one request of a team, for a short time.
#[derive(Debug, Clone)]
pub struct Token {
    pub(super) team: TeamKey,
    /// Instance whose pool the token was taken from.
    pub(super) holder: ids::InstanceId,
    /// Time at which the token expires, on this instance's clock that also runs while the machine is suspended.
    pub(super) expires_at: TimeMs,
}

impl Token {
    /// Returns whether a request may still be sent with the token.
    #[must_use]
    pub fn is_usable(&self, now: TimeMs) -> bool {
        now < self.expires_at
    }
}

/// What the sender of a request for tokens does with them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenUse {
    /// Sends a client's request.
    Request,
    /// Adds them to its own pool.
    Pool,
}

/// A request for tokens of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Number by which the reply names the request.
    pub id: u32,
    /// The team.
    pub team: TeamKey,
    /// Thousandths of tokens.
    pub millitokens: u32,
    /// What the tokens are for.
    pub token_use: TokenUse,
    /// Priority of the request that needs a token; 0 is the most urgent.
    pub priority: u32,
}

/// The reply to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaReply {
    /// Number of the request.
    pub id: u32,
    /// Thousandths of tokens that the recipient may use; 0 if it gets none.
    pub millitokens: u32,
    /// Time after which a caller should retry if there was no token; 0 if the sender holds no pool of the team.
    pub retry_after_ms: u32,
}

/// A message between two instances about tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaMessage {
    /// A request for tokens.
    Request(QuotaRequest),
    /// The reply to a request for tokens.
    Reply(QuotaReply),
    /// A token of the team that was not used and returns to its pool.
    Return(TeamKey),
}
