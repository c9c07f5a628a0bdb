//! The type of all messages between the engines of entry instances.
//!
//! A home is an instance and its incarnation (one start or renewal), which alone may run the idempotency keys
//! naming it.
//!
//! ```
//! use damaskvane_engine::peer;
//!
//! let message = peer::PeerMessage::Departed(peer::Departed {
//!     departed: "e-1/3".parse()?,
//!     successor: "e-2/4".parse()?,
//! });
//! assert_eq!(message.kind(), "departed");
//! # Ok::<(), damaskvane_dispatch::home::ParseHomeError>(())
//! ```

use std::sync::Arc;

use damaskvane_dispatch::{fingerprint, home, quarantine};
use damaskvane_slots::message as slot_message;
use serde::{Deserialize, Serialize};

use crate::message;
use crate::peer::{departure, forward};

/// A message from one engine to another; messages may be lost, duplicated or late.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A non-repeatable request, forwarded to its home.
    Forward(forward::Forward),
    /// The home's response to a forwarded request.
    #[serde(rename = "ForwardAnswer")]
    ForwardResponse(forward::ForwardResponse),
    /// A part of a leaving instance's key table.
    Handover(Box<home::HandoverPart<Arc<message::BackendResponse>>>),
    /// The successor has stored a part of the key table.
    #[serde(rename = "HandoverTaken")]
    HandoverAck(departure::HandoverAck),
    /// An outcome that reached a leaving instance after it had handed its key table over to its successor.
    Amendment(Box<home::HandoverRecord<Arc<message::BackendResponse>>>),
    /// A backend server crashed while it ran the listed requests.
    Incident(Box<quarantine::Incident>),
    /// A request is no longer suspected of crashing backend servers.
    Cleared(fingerprint::Fingerprint),
    /// A message about the leases of slots, the rights to run one request on a backend server.
    Slots(Box<slot_message::AddressedMessage>),
    /// A successor has taken over the keys of a home that has left.
    Departed(departure::Departed),
    /// The sender now accepts new idempotency keys under this home, which has a later incarnation.
    Renewed(home::Home),
}

impl PeerMessage {
    /// Returns the label under which the message is counted.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Forward(_) => "forward",
            Self::ForwardResponse(_) => "forward_answer",
            Self::Handover(_) => "handover",
            Self::HandoverAck(_) => "handover_taken",
            Self::Amendment(_) => "amendment",
            Self::Incident(_) => "incident",
            Self::Cleared(_) => "cleared",
            Self::Slots(addressed) => addressed.message.kind(),
            Self::Departed(_) => "departed",
            Self::Renewed(_) => "renewed",
        }
    }
}
