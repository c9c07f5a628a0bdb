//! Messages between entry instances and their transport.
//!
//! # Crate guide
//!
//! - [`address`]: the address at which an instance listens for its peers.
//! - [`transport`]: one listener for all peers, and one connection to each peer that receives messages.
//! - [`settings`]: limits on message size, rate, queues and connections.
//! - [`counters`]: sent and received messages and bytes by kind, and drops by reason.
//! - [`envelope`]: the encoding of messages in CBOR, which lets versions of the program run side by side.
//! - [`error`]: errors of listening and sending.
//!
//! The transport does not guarantee delivery: a message is sent at most once and may be lost. A caller
//! that needs delivery repeats the message until a response arrives.
//!
//! ```
//! use damaskvane_peer::{settings, transport};
//!
//! #[derive(Debug, serde::Serialize, serde::Deserialize)]
//! struct Ping(u32);
//!
//! impl transport::MessageKind for Ping {
//!     fn kind(&self) -> &'static str {
//!         "ping"
//!     }
//! }
//!
//! let settings = settings::PeerSettings::default();
//! let own: damaskvane_core::ids::InstanceId = settings.instance.clone();
//! let (transport, received) = transport::Transport::<Ping>::listen(settings)?;
//! transport.set_allowed_senders([own.clone()]);
//! transport.send(transport.local_address(), &Ping(7))?;
//! assert_eq!(received.recv().map(|ping| ping.from), Ok(own));
//! # Ok::<(), damaskvane_peer::error::PeerError>(())
//! ```

pub mod address;
pub mod counters;
pub mod envelope;
pub mod error;
mod inbound;
mod outbound;
mod sender_filter;
pub mod settings;
pub mod transport;
