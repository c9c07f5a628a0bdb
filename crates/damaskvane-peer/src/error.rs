//! Errors of listening and sending.
//!
//! ```
//! use damaskvane_peer::error;
//!
//! let error = error::PeerError::TooLarge { bytes: 9, limit_bytes: 8 };
//! assert!(error.to_string().contains("split"));
//! ```

use crate::address;

/// The reason why the transport could not listen, or dropped a message instead of sending it.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum PeerError {
    /// can't listen on {address}: {cause}; free the port or set another listen_address
    Listen {
        /// The configured listen address.
        address: address::PeerAddress,
        /// The error text of the transport library.
        cause: String,
    },
    /// can't connect to {address}: {cause}; check the address in the instance list
    Dial {
        /// The address of the peer.
        address: address::PeerAddress,
        /// The error text of the transport library.
        cause: String,
    },
    /// the message can't be encoded: {cause}; report this as a bug
    Encode {
        /// The error text of the codec.
        cause: String,
    },
    /// the message has {bytes} bytes and the limit is {limit_bytes}; split it or raise max_message_bytes
    TooLarge {
        /// The encoded size in bytes, envelope included.
        bytes: usize,
        /// The maximum size in bytes.
        limit_bytes: usize,
    },
    /// the queue to {address} is full; send again later, or reconnect if the peer has been silent
    QueueFull {
        /// The address of the peer.
        address: address::PeerAddress,
    },
    /// {limit} connections are open already; wait for idle ones to close or raise connection_limit
    ConnectionLimit {
        /// The maximum number of outgoing connections.
        limit: usize,
    },
}
