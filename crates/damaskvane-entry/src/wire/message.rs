//! Union of all messages between entry instances.
//!
//! ```
//! use damaskvane_entry::wire;
//! use damaskvane_peer::transport::MessageKind;
//!
//! let request = wire::WireMessage::Configuration(wire::ConfigurationMessage::GetHead);
//! assert_eq!(request.kind(), "ask_head");
//! ```

use damaskvane_core::ids;
use damaskvane_engine::peer;
use damaskvane_membership::{digest, heartbeat};
use damaskvane_peer::transport;
use serde::{Deserialize, Serialize};

use crate::load;
use crate::wire::{configuration, fleet};

/// Message between entry instances. The serialized names are short because heartbeats are frequent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WireMessage {
    /// Heartbeat of the sender.
    #[serde(rename = "h")]
    Heartbeat(heartbeat::Heartbeat),
    /// Message about the list of instances.
    #[serde(rename = "f")]
    Fleet(fleet::FleetMessage),
    /// Message about the configuration.
    #[serde(rename = "c")]
    Configuration(configuration::ConfigurationMessage),
    /// Load report of one instance, for the aggregator of its zone, the instance that sums the zone's load.
    #[serde(rename = "l")]
    Load(load::InstanceLoad),
    /// Digests, which are the load reports of whole zones.
    #[serde(rename = "d")]
    Digests(digest::DigestBundle<load::ZoneReport>),
    /// Message between the engines of two instances.
    #[serde(rename = "e")]
    Engine(Box<peer::PeerMessage>),
}

impl WireMessage {
    /// Returns whether the message is a list of instances that has the entry of this incarnation.
    ///
    /// Of all messages, only such a list of its sender is of use to an instance that does not know the
    /// sender.
    #[must_use]
    pub fn names(&self, instance: &ids::InstanceId, incarnation: ids::Incarnation) -> bool {
        let Self::Fleet(fleet::FleetMessage::List { records, .. }) = self else {
            return false;
        };
        records
            .iter()
            .any(|record| record.instance == *instance && record.incarnation == incarnation)
    }
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
