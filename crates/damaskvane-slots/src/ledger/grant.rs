//! One grant, and why there is none.

use damaskvane_core::{time, units};

use crate::message::GrantKey;

/// What one holder has borrowed at one time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Its name.
    pub key: GrantKey,
    /// How many slots.
    pub slots: units::Slots,
    /// When the owner may lend them again.
    pub until: time::TimeMs,
}

/// all slots are lent; the first lapse at {free_at:?}, earlier if they are given back
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct Full {
    /// When the first grant lapses.
    pub free_at: time::TimeMs,
}
