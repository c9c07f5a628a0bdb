//! What became of an offered head or of offered chunks.
//!
//! ```
//! use damaskvane_config::apply;
//!
//! assert_eq!(apply::IgnoreReason::NotNewer.as_str(), "not-newer");
//! ```

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

use crate::problem::Problem;

/// Why an offer changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IgnoreReason {
    /// The head's version is not above the one in force.
    NotNewer,
    /// The head was refused before.
    RefusedBefore,
    /// The bytes are no head.
    Malformed,
    /// No head waits for chunks.
    NothingWanted,
}

impl IgnoreReason {
    /// The word under which it is counted.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotNewer => "not-newer",
            Self::RefusedBefore => "refused-before",
            Self::Malformed => "malformed",
            Self::NothingWanted => "nothing-wanted",
        }
    }
}

/// What became of an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It changed nothing.
    Ignored(IgnoreReason),
    /// These chunks are wanted before the head can be adopted.
    Wanting(Vec<ContentHash>),
    /// A head came into force.
    Adopted(ids::ConfigVersion),
    /// The head is whole but not valid; what was in force stays.
    Refused(Vec<Problem>),
}
