//! A move of traffic as look-ups apply it.
//!
//! ```
//! use damaskvane_entry::serving;
//!
//! let shift = serving::ActiveShift {
//!     name: "night".to_owned(),
//!     service: "rider-desk".parse()?,
//!     from: "sask-a".parse()?,
//!     to: "mb-a".parse()?,
//!     moved_permille: 1_000,
//! };
//! assert!(shift.applies(&"rider-desk".parse()?, &"sask-a".parse()?, 7));
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{hash, ids};

const WHOLE_PERMILLE: u64 = 1_000;

/// A move of traffic as look-ups apply it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveShift {
    /// The name of its declaration.
    pub name: String,
    /// The service whose traffic moves.
    pub service: ids::ServiceId,
    /// The zone that gives clients away.
    pub from: ids::AvailabilityZoneId,
    /// The zone that takes them.
    pub to: ids::AvailabilityZoneId,
    /// The share of clients that is moved now.
    pub moved_permille: u32,
}

impl ActiveShift {
    /// Whether a client of a zone is moved.
    ///
    /// Clients move by a hash of their block and the shift, so that the same ones stay moved as the
    /// share grows, and two shifts do not always move the same ones.
    #[must_use]
    pub fn applies(
        &self,
        service: &ids::ServiceId,
        near: &ids::AvailabilityZoneId,
        client_hash: u64,
    ) -> bool {
        if self.service != *service || self.from != *near {
            return false;
        }
        let text = format!("{client_hash}/{}", self.name);
        let drawn = hash::ContentHash::of(text.as_bytes()).as_bytes()[..8]
            .iter()
            .fold(0_u64, |sum, byte| (sum << 8) | u64::from(*byte));
        drawn % WHOLE_PERMILLE < u64::from(self.moved_permille)
    }
}
