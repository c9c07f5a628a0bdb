//! Every message between entry instances.
//!
//! ```
//! use damaskvane_entry::wire;
//! use damaskvane_peer::transport::MessageKind;
//!
//! assert_eq!(wire::WireMessage::Heartbeat(wire::Heartbeat::default()).kind(), "heartbeat");
//! ```

use damaskvane_engine::peer;
use damaskvane_peer::transport;
use serde::{Deserialize, Serialize};

use crate::wire::heartbeat;

/// A message between entry instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WireMessage {
    /// A sign of life.
    #[serde(rename = "h")]
    Heartbeat(heartbeat::Heartbeat),
    /// From engine to engine.
    #[serde(rename = "e")]
    Engine(Box<peer::PeerMessage>),
}

impl transport::MessageKind for WireMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Engine(message) => message.kind(),
        }
    }
}
