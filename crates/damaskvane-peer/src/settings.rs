//! Bounds of the transport.
//!
//! ```
//! use damaskvane_peer::settings;
//!
//! let settings = settings::PeerSettings {
//!     max_messages_per_second: 500,
//!     ..settings::PeerSettings::default()
//! };
//! assert_eq!(settings.max_message_bytes, settings::DEFAULT_MAX_MESSAGE_BYTES);
//! ```

use core::net;

use damaskvane_core::{ids, time};

use crate::address;

/// The largest message that is sent or received by default: a chunk of the configuration (1 MB) and
/// its envelope.
pub const DEFAULT_MAX_MESSAGE_BYTES: usize = 1_100_000;

/// Who the transport speaks for, and its bounds.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Where to listen; port 0 picks a free one.
    pub listen_address: address::PeerAddress,
    /// The instance that sends.
    pub instance: ids::InstanceId,
    /// Which start of that instance this is.
    pub incarnation: ids::Incarnation,
    /// The largest encoded message, both ways; a larger one that comes in ends its connection.
    pub max_message_bytes: usize,
    /// How many messages a second are taken from one sender.
    pub max_messages_per_second: u32,
    /// How many messages wait for one peer before more are dropped.
    pub queue_messages: u16,
    /// How many received messages wait for the program before more are dropped.
    pub received_messages: usize,
    /// How many connections are kept, outgoing and incoming each.
    pub connection_limit: usize,
    /// A connection over which nothing was sent for this long is closed.
    pub idle_ms: time::SpanMs,
    /// How long messages wait for a connection that is not yet, or no longer, there.
    pub connect_grace_ms: time::SpanMs,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            listen_address: address::PeerAddress::new(net::SocketAddr::from(([127, 0, 0, 1], 0))),
            instance: "unnamed".parse().expect("a constant that parses"),
            incarnation: ids::Incarnation::default(),
            max_message_bytes: DEFAULT_MAX_MESSAGE_BYTES,
            max_messages_per_second: 1_000,
            queue_messages: 128,
            received_messages: 4_096,
            connection_limit: 512,
            idle_ms: time::SpanMs::new(60_000),
            connect_grace_ms: time::SpanMs::new(1_000),
        }
    }
}
