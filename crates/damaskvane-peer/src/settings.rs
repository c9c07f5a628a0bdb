//! Settings of the transport.
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

/// The default maximum size of an encoded message: a chunk of the configuration (1 MB) and its envelope.
pub const DEFAULT_MAX_MESSAGE_BYTES: usize = 1_100_000;

/// The identity of the sending instance, and the limits of its transport.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// The address to listen at; port 0 selects a free port.
    pub listen_address: address::PeerAddress,
    /// The instance that sends the messages.
    pub instance: ids::InstanceId,
    /// The incarnation of the sending instance.
    pub incarnation: ids::Incarnation,
    /// The maximum size of an encoded message, sent or received; receiving a larger one closes its
    /// connection.
    pub max_message_bytes: usize,
    /// The maximum rate of messages per second accepted from one sender.
    pub max_messages_per_second: u32,
    /// The length of the send queue to one peer, in messages; further messages are dropped.
    pub send_queue_messages: u16,
    /// The length of the queue of received messages; further messages are dropped.
    pub receive_queue_messages: usize,
    /// The maximum number of outgoing connections, and of incoming connections.
    pub connection_limit: usize,
    /// The idle time after which an outgoing connection is closed.
    pub idle_ms: time::SpanMs,
    /// The maximum time for which messages wait for a connection that is down.
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
            send_queue_messages: 128,
            receive_queue_messages: 4_096,
            connection_limit: 512,
            idle_ms: time::SpanMs::new(60_000),
            connect_grace_ms: time::SpanMs::new(1_000),
        }
    }
}
