//! Every message between engines.
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

/// A message from one engine to another; it may be lost, doubled or late.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A request for its home.
    Forward(forward::Forward),
    /// The home's answer.
    #[serde(rename = "ForwardAnswer")]
    ForwardResponse(forward::ForwardResponse),
    /// A part of a leaving instance's table of keys.
    Handover(Box<home::HandoverPart<Arc<message::BackendResponse>>>),
    /// The successor holds a part.
    #[serde(rename = "HandoverTaken")]
    HandoverAck(departure::HandoverAck),
    /// An outcome that a leaving instance learned after its handover.
    Amendment(Box<home::HandoverRecord<Arc<message::BackendResponse>>>),
    /// A backend server died while it ran these requests.
    Incident(Box<quarantine::Incident>),
    /// A request is suspect no more.
    Cleared(fingerprint::Fingerprint),
    /// About slots of backend servers.
    Slots(Box<slot_message::AddressedMessage>),
    /// Who answers for a home that has left.
    Departed(departure::Departed),
    /// The sender takes new keys under this home from now on.
    Renewed(home::Home),
}

impl PeerMessage {
    /// The word under which it is counted.
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
