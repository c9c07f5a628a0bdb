//! Messages between entry instances and their transport.
//!
//! # Crate guide
//!
//! - [`address`]: where an instance listens for its peers.
//! - [`transport`]: one listener for all that comes in, one connection for each peer that is sent to.
//! - [`settings`]: bounds on size, rate, queues and connections.
//! - [`counters`]: messages and bytes by kind, both ways, and drops by reason.
//! - [`envelope`]: the encoding on the wire: CBOR, so that versions of the program can be mixed.
//! - [`error`]: why a message was not taken for sending.
//!
//! The transport promises no delivery: a message is sent at most once and may be lost. What must arrive
//! is repeated by the caller until it is answered.
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
mod gate;
mod inbound;
mod outbound;
pub mod settings;
pub mod transport;
