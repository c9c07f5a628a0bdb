//! Messages with the list of instances, for an instance that starts while the platform is down.
//!
//! ```
//! use damaskvane_entry::wire;
//!
//! assert_eq!(wire::FleetMessage::GetList { reply_to: "127.0.0.1:7101".parse()? }.kind(), "ask_list");
//! # Ok::<(), damaskvane_peer::address::ParseAddressError>(())
//! ```

use damaskvane_core::time;
use damaskvane_membership::record;
use damaskvane_peer::address;
use serde::{Deserialize, Serialize};

/// Message that requests or contains the list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Requests the list of instances.
    #[serde(rename = "a")]
    GetList {
        /// Peer address that the sender listens on now; the receiver's list may still have the sender's
        /// previous address.
        #[serde(rename = "r")]
        reply_to: address::PeerAddress,
    },
    /// Contains the list of instances that the sender has.
    #[serde(rename = "l")]
    List {
        /// Records of the listed instances.
        #[serde(rename = "i")]
        records: Vec<record::InstanceRecord>,
        /// Age of the list in milliseconds.
        #[serde(rename = "a")]
        age_ms: time::SpanMs,
        /// Whether the list is a copy as read from the platform, and not what the sender knows of others.
        #[serde(rename = "c", default, skip_serializing_if = "core::ops::Not::not")]
        is_copy: bool,
    },
}

impl FleetMessage {
    /// Returns the label under which the message is counted.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::GetList { .. } => "ask_list",
            Self::List { .. } => "list",
        }
    }
}
