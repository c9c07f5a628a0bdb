//! Why a message was not taken for sending.
//!
//! ```
//! use damaskvane_peer::error;
//!
//! let error = error::PeerError::TooLarge { bytes: 9, limit_bytes: 8 };
//! assert!(error.to_string().contains("split"));
//! ```

use crate::address;

/// What the transport refuses.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum PeerError {
    /// can't listen on {address}: {cause}; free the port or set another listen_address
    Listen {
        /// Where the listener was to be.
        address: address::PeerAddress,
        /// What the transport library says.
        cause: String,
    },
    /// can't connect to {address}: {cause}; check the address in the instance list
    Dial {
        /// The peer.
        address: address::PeerAddress,
        /// What the transport library says.
        cause: String,
    },
    /// the message can't be encoded: {cause}; report this as a fault of the program
    Encode {
        /// What the codec says.
        cause: String,
    },
    /// the message has {bytes} bytes and at most {limit_bytes} are sent; split it or raise max_message_bytes
    TooLarge {
        /// The encoded size.
        bytes: usize,
        /// The limit.
        limit_bytes: usize,
    },
    /// the queue to {address} is full; send again later, or reconnect if the peer has been silent
    QueueFull {
        /// The peer.
        address: address::PeerAddress,
    },
    /// {limit} connections are open already; wait for idle ones to close or raise connection_limit
    ConnectionLimit {
        /// The limit.
        limit: usize,
    },
}
