//! Errors of a table's handover.
//!
//! ```
//! use damaskvane_dispatch::home;
//!
//! assert!(home::HandoverError::TableFull.to_string().contains("max_entries"));
//! ```

/// The reason for which a handover is refused.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum HandoverError {
    /// the table was already handed over to {successor}; send the remaining parts there, a second successor could dispatch a key twice
    OtherSuccessor {
        /// The home that holds the table, or "no successor" for a table that was closed.
        successor: String,
    },
    /// the successor has no capacity for the table; choose one with fewer keys, or raise max_entries and max_tombstones
    TableFull,
    /// the instance is leaving or is the sender itself; choose another successor that stays
    Leaving,
    /// the handover names {successor}, which is not an incarnation of this process; the keys of the predecessor stay unknown
    OtherIncarnation {
        /// The home that the predecessor named as its successor.
        successor: String,
    },
}
