//! The messages of a handover of idempotency keys from a leaving instance to its successor.
//!
//! A home is an instance and its incarnation (one start or renewal), which alone may run the keys naming it.
//!
//! ```
//! use damaskvane_engine::peer;
//!
//! let ack = peer::HandoverAck { part: 0 };
//! assert_eq!(ack.part, 0);
//! ```

use damaskvane_dispatch::home;
use serde::{Deserialize, Serialize};

/// The acknowledgement that the successor has stored a part of the key table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverAck {
    /// The index of the part, from 0.
    pub part: u32,
}

/// The notice that a successor has taken over the keys of a home that has left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// The home that left.
    pub departed: home::Home,
    /// The home that took over the keys.
    pub successor: home::Home,
}
