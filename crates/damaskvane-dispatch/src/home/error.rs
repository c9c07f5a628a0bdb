//! Why a table is not handed over.
//!
//! ```
//! use damaskvane_dispatch::home;
//!
//! assert!(home::HandoverError::TableFull.to_string().contains("max_entries"));
//! ```

/// Why a handover is refused.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum HandoverError {
    /// the table was surrendered to {successor} already; send the rest there, a second successor could dispatch a key twice
    OtherSuccessor {
        /// Who holds the table.
        successor: String,
    },
    /// the successor has no room for the table; choose one with fewer keys, or raise max_entries and max_bytes
    TableFull,
    /// this instance is leaving itself; choose a successor that stays
    Leaving,
    /// the handover names {successor}, which is not this incarnation; the predecessor's keys stay unknown
    OtherIncarnation {
        /// Whom the predecessor chose.
        successor: String,
    },
}
