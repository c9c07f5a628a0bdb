//! Messages that pass the list of instances on, for one that starts while the platform is down.
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

/// A message about the list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Send the list of instances.
    #[serde(rename = "a")]
    GetList {
        /// Where the sender listens now; the list may still name where it listened before.
        #[serde(rename = "r")]
        reply_to: address::PeerAddress,
    },
    /// The list of instances as the sender holds it.
    #[serde(rename = "l")]
    List {
        /// Its entries.
        #[serde(rename = "i")]
        records: Vec<record::InstanceRecord>,
        /// How old it is.
        #[serde(rename = "a")]
        age_ms: time::SpanMs,
    },
}

impl FleetMessage {
    /// The word under which it is counted.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::GetList { .. } => "ask_list",
            Self::List { .. } => "list",
        }
    }
}
