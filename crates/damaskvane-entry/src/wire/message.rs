//! Every message between entry instances.
//!
//! ```
//! use damaskvane_entry::wire;
//! use damaskvane_peer::transport::MessageKind;
//!
//! let ask = wire::WireMessage::Configuration(wire::ConfigurationMessage::AskHead);
//! assert_eq!(ask.kind(), "ask_head");
//! ```

use damaskvane_engine::peer;
use damaskvane_membership::heartbeat;
use damaskvane_peer::transport;
use serde::{Deserialize, Serialize};

use crate::wire::configuration;

/// A message between entry instances. Names are short because heartbeats are sent all the time.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WireMessage {
    /// A sign of life.
    #[serde(rename = "h")]
    Heartbeat(heartbeat::Heartbeat),
    /// About the configuration.
    #[serde(rename = "c")]
    Configuration(configuration::ConfigurationMessage),
    /// From engine to engine.
    #[serde(rename = "e")]
    Engine(Box<peer::PeerMessage>),
}

impl transport::MessageKind for WireMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Configuration(message) => message.kind(),
            Self::Engine(message) => message.kind(),
        }
    }
}
