//! A grant as its owner reports it to the next owner.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders.

use damaskvane_core::{time, units};
use serde::{Deserialize, Serialize};

use crate::message::GrantKey;
use crate::message::serialize::is_false;

/// A grant in the ledger that an owner sends to the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The holder and the number of the grant.
    #[serde(rename = "k")]
    pub key: GrantKey,
    /// The number of slots of the grant, without returned ones.
    #[serde(rename = "s")]
    pub slots: units::Slots,
    /// Time until the grant expires on the clock of the owner that sends the ledger; no meaning for a
    /// standing lease.
    #[serde(rename = "l")]
    pub remaining_ms: time::SpanMs,
    /// Whether the lease is a standing one, which ends with its holder and not at a time.
    #[serde(rename = "p", default, skip_serializing_if = "is_false")]
    pub is_standing: bool,
}
