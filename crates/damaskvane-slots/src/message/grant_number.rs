//! The number of an acquire request and of its grant.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders.

use serde::{Deserialize, Serialize};

/// The number of an acquire request, and of the grant that responds to it.
///
/// The number is unique within one incarnation of the holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantNumber(u64);

impl GrantNumber {
    /// Creates a grant number from an integer.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
