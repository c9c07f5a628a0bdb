//! Every message between engines.
//!
//! ```
//! use damaskvane_engine::peer;
//!
//! let answer = peer::PeerMessage::ForwardAnswer(peer::ForwardAnswer::lost(1));
//! assert_eq!(answer.kind(), "forward_answer");
//! ```

use serde::{Deserialize, Serialize};

use crate::peer::forward;

/// A message from one engine to another; it may be lost, doubled or late.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A request for its home.
    Forward(forward::Forward),
    /// The home's answer.
    ForwardAnswer(forward::ForwardAnswer),
}

impl PeerMessage {
    /// The word under which it is counted.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Forward(_) => "forward",
            Self::ForwardAnswer(_) => "forward_answer",
        }
    }
}
