//! The identity of a grant.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders.

use damaskvane_core::ids;
use serde::{Deserialize, Serialize};

use crate::message::GrantNumber;

/// Identifies a grant among all instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantKey {
    /// The instance that holds the granted slots.
    #[serde(rename = "h")]
    pub holder: ids::InstanceId,
    /// The incarnation of the holder that sent the acquire request.
    #[serde(rename = "i")]
    pub incarnation: ids::Incarnation,
    /// The number of the acquire request.
    #[serde(rename = "n")]
    pub number: GrantNumber,
}
