//! Every message between entry instances.
//!
//! ```
//! use damaskvane_entry::wire;
//! use damaskvane_peer::transport::MessageKind;
//!
//! let ask = wire::WireMessage::Configuration(wire::ConfigurationMessage::GetHead);
//! assert_eq!(ask.kind(), "ask_head");
//! ```

use damaskvane_engine::peer;
use damaskvane_membership::{digest, heartbeat};
use damaskvane_peer::transport;
use serde::{Deserialize, Serialize};

use crate::load;
use crate::wire::{configuration, fleet};

/// A message between entry instances. Names are short because heartbeats are sent all the time.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WireMessage {
    /// A sign of life.
    #[serde(rename = "h")]
    Heartbeat(heartbeat::Heartbeat),
    /// About the list of instances.
    #[serde(rename = "f")]
    Fleet(fleet::FleetMessage),
    /// About the configuration.
    #[serde(rename = "c")]
    Configuration(configuration::ConfigurationMessage),
    /// What an instance measured, for the aggregator of its zone.
    #[serde(rename = "l")]
    Load(load::InstanceLoad),
    /// Reports of zones.
    #[serde(rename = "d")]
    Digests(digest::DigestBundle<load::ZoneReport>),
    /// From engine to engine.
    #[serde(rename = "e")]
    Engine(Box<peer::PeerMessage>),
}

impl transport::MessageKind for WireMessage {
    fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Fleet(message) => message.kind(),
            Self::Load(_) => "load",
            Self::Digests(_) => "digests",
            Self::Configuration(message) => message.kind(),
            Self::Engine(message) => message.kind(),
        }
    }
}
