//! A claim to which an instance has consented.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders.

use damaskvane_core::ids;
use serde::{Deserialize, Serialize};

/// A claim to which an instance has consented, and which may be completed with that consent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConsentedClaim {
    /// The claimant.
    #[serde(rename = "i")]
    pub claimant: ids::InstanceId,
    /// The incarnation of the claimant.
    #[serde(rename = "n")]
    pub incarnation: ids::Incarnation,
    /// The number of the claim.
    #[serde(rename = "c")]
    pub claim: u64,
}
