//! A grant that the owner of a backend server has made, and the error when all slots are granted.
//!
//! A slot is the right to run one request on the backend server.

use damaskvane_core::{time, units};

use crate::message::GrantKey;

/// Slots granted to one holder in response to one acquire request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The identity of the grant: its holder and the number of the holder's acquire request.
    pub key: GrantKey,
    /// The number of granted slots.
    pub slots: units::Slots,
    /// When the grant expires on the owner's clock; from then on the owner may grant the slots again.
    pub until: time::TimeMs,
}

/// all slots are granted; the first grant expires at {free_at:?} unless a holder returns slots earlier
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct Full {
    /// When the first grant expires.
    pub free_at: time::TimeMs,
}
