//! The outcome of a head or of chunks that were passed to the applier.
//!
//! A head lists all objects of one configuration version; a chunk holds the state of one object.
//!
//! ```
//! use damaskvane_config::apply;
//!
//! assert_eq!(apply::IgnoreReason::NotNewer.as_str(), "not-newer");
//! ```

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

use crate::problem::Problem;

/// Why a head or chunks were ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IgnoreReason {
    /// The head's version is not above the active one.
    NotNewer,
    /// The same head failed validation before.
    RejectedBefore,
    /// The bytes can't be decoded as a head.
    Malformed,
    /// No pending head waits for chunks.
    NoHeadWaiting,
}

impl IgnoreReason {
    /// Returns the label of the reason, for example `not-newer`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotNewer => "not-newer",
            Self::RejectedBefore => "refused-before",
            Self::Malformed => "malformed",
            Self::NoHeadWaiting => "nothing-wanted",
        }
    }
}

/// What the applier did with a head or with chunks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Nothing changed, for this reason.
    Ignored(IgnoreReason),
    /// The head is pending until the chunks with these hashes arrive.
    MissingChunks(Vec<ContentHash>),
    /// The head of this version became active.
    Applied(ids::ConfigVersion),
    /// All chunks of the head have arrived but its state failed validation; the active
    /// configuration stays.
    Rejected(Vec<Problem>),
}
