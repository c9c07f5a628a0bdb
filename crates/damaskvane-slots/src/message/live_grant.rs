//! A grant as its holder reports it to the owner.
//!
//! A slot is the right to run one request on a backend server; the server's owner grants slots to holders.

use damaskvane_core::units;
use serde::{Deserialize, Serialize};

use crate::message::GrantNumber;

/// Slots of one grant that a holder uses or may still receive, as it reports them to the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveGrant {
    /// The number of the grant.
    #[serde(rename = "n")]
    pub number: GrantNumber,
    /// The number of slots of the grant, or of the acquire request if the grant has not arrived.
    #[serde(rename = "s")]
    pub slots: units::Slots,
}
