//! Everything that entry instances say to each other.
//!
//! ```
//! use damaskvane_entry::wire;
//! use damaskvane_peer::transport::MessageKind;
//!
//! let heartbeat = wire::WireMessage::Heartbeat(wire::Heartbeat::default());
//! assert_eq!(heartbeat.kind(), "heartbeat");
//! ```

mod heartbeat;
mod message;

pub use heartbeat::Heartbeat;
pub use message::WireMessage;
