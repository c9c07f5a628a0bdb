//! What one instance tells another of what servers have said.

use damaskvane_core::time::SpanMs;

use crate::pool::ServerKey;

/// A statement of a server that one instance passes on to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStatement {
    /// An incarnation of the server leaves, and takes no new requests of any instance.
    Leaving {
        /// Server that leaves.
        server: ServerKey,
        /// Start time of the incarnation, by the server's own clock.
        started_unix_ms: u64,
    },
    /// The server wants no request from the sender.
    SenderRests {
        /// Server that rests.
        server: ServerKey,
        /// Time until the end of the rest.
        remaining: SpanMs,
    },
    /// The server has rejected a request that the recipient carried for the sender: it wants no request from the recipient.
    RecipientRests {
        /// Server that rests.
        server: ServerKey,
        /// Time until the end of the rest.
        remaining: SpanMs,
    },
}
