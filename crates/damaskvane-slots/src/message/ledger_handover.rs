//! The ledger that an owner sends to the next one.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders.

use damaskvane_core::time;
use serde::{Deserialize, Serialize};

use crate::message::{LedgerEntry, WaitReport};

/// The ledger of an owner, which it sends to the next owner in its consent to the claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerHandover {
    /// The grants that have not expired.
    pub entries: Vec<LedgerEntry>,
    /// How long grants of an earlier owner that are not in the ledger may be in use; zero if there are none.
    ///
    /// Not zero if the sender still waits. Such a ledger is incomplete, and the sender has not had all others'
    /// consent to grant slots, so that another instance may be an owner as well.
    pub wait_ms: time::SpanMs,
    /// The parts of that wait, which proofs can shorten; `None` from a sender that knows only its length.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait: Option<WaitReport>,
}
