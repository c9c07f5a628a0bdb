//! What a leaving instance and its successor tell each other and the rest.
//!
//! ```
//! use damaskvane_engine::peer;
//!
//! let ack = peer::HandoverAck { part: 0 };
//! assert_eq!(ack.part, 0);
//! ```

use damaskvane_dispatch::home;
use serde::{Deserialize, Serialize};

/// The successor holds a part of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverAck {
    /// Which part, from 0.
    pub part: u32,
}

/// Who answers for a home that has left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// The home that left.
    pub departed: home::Home,
    /// The one that took its keys over.
    pub successor: home::Home,
}
