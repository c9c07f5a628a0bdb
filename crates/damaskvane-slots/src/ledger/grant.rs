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
    /// Whether the lease is a standing one: `until` does not apply as long as its holder may act.
    pub is_standing: bool,
}

impl Grant {
    /// Returns whether the holder may use the slots at `now`, as far as the owner knows.
    #[must_use]
    pub fn is_in_use(&self, now: time::TimeMs) -> bool {
        self.is_standing || self.until > now
    }

    /// Ends a standing lease: the grant expires at `until`.
    pub(crate) const fn end_standing(&mut self, until: time::TimeMs) {
        self.is_standing = false;
        self.until = until;
    }
}

/// all slots are granted; the first grant expires at {free_at:?} unless a holder returns slots earlier
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct Full {
    /// When the first grant expires.
    pub free_at: time::TimeMs,
}
