//! A lease as its holder reports it to a claimant.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders.

use damaskvane_core::{time, units};
use serde::{Deserialize, Serialize};

use crate::message::GrantNumber;
use crate::message::serialize::is_false;

/// A grant as its holder reports it to an instance that claims the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// The number of the grant.
    #[serde(rename = "n")]
    pub number: GrantNumber,
    /// The number of slots of the grant, without returned ones.
    #[serde(rename = "s")]
    pub slots: units::Slots,
    /// Time until the lease expires on the holder's clock; no meaning for a standing lease.
    #[serde(rename = "l")]
    pub remaining_ms: time::SpanMs,
    /// Whether the lease is a standing one, which ends with its holder and not at a time.
    #[serde(rename = "p", default, skip_serializing_if = "is_false")]
    pub is_standing: bool,
}
