//! The ways that are compared.

use core::fmt;

/// One way of sharing slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    /// Every request goes through the owner.
    Owner,
    /// The owner lends.
    Lease,
    /// A fixed part each.
    Share,
}

impl Way {
    pub(super) const ALL: [Self; 3] = [Self::Owner, Self::Lease, Self::Share];
}

impl fmt::Display for Way {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Owner => "owner",
            Self::Lease => "lease",
            Self::Share => "share",
        })
    }
}
