//! Why an instance grants or renews no slots.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders.

use serde::{Deserialize, Serialize};

/// Why an instance refuses to grant or renew slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The instance does not own the backend server.
    NotOwner,
    /// The instance is claiming the server, or waits for an earlier owner's grants to expire.
    Waiting,
    /// The authority of the instance (its right to act as an owner) has expired, so another instance may have
    /// replaced it.
    NoAuthority,
    /// The grant to renew is not in the ledger, or exceeds the server's slots after their number was lowered.
    UnknownGrant,
}

impl RefusalReason {
    /// Returns the label for metrics and the status page.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotOwner => "not-owner",
            Self::Waiting => "owner-waiting",
            Self::NoAuthority => "no-authority",
            Self::UnknownGrant => "unknown-grant",
        }
    }
}
