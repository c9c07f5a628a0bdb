//! A new incarnation without a restart.
//!
//! ```text
//! tombstones three quarters full -> next incarnation; the one before takes new keys for a while still
//! ```

use damaskvane_core::{ids, time};

use crate::home::response_size::ResponseSize;
use crate::home::{scope, table, tombstones};

/// Thousandths of `max_tombstones` at which a new incarnation is due.
const RENEWAL_PERMILLE: usize = 750;

/// How long look-up answers may still name the incarnation before.
const GRACE: time::SpanMs = time::SpanMs::new(30_000);

/// The incarnation before this one, with its own tombstones.
///
/// Clients hold look-up answers that name it, and other instances give such answers until they hear of
/// the new one. Without it their new keys would be answered *unknown* for some seconds.
#[derive(Debug)]
pub(super) struct Previous {
    pub(super) incarnation: ids::Incarnation,
    pub(super) tombstones: tombstones::Tombstones,
    until: time::TimeMs,
}

impl<A: Clone + ResponseSize> table::HomeTable<A> {
    /// Takes a new incarnation without a restart, so that tombstones can be dropped.
    ///
    /// Kept outcomes stay. The incarnation before takes new keys for another 30 s, so that look-up answers
    /// can change over; after that its keys that are not kept are *unknown*. An incarnation that is not
    /// higher, or a surrendered table, changes nothing.
    pub fn renew(&mut self, incarnation: ids::Incarnation) {
        if incarnation <= self.me.incarnation || self.surrender.is_some() {
            return;
        }
        let previous = Previous {
            incarnation: self.me.incarnation,
            tombstones: core::mem::take(&mut self.tombstones),
            until: self.now + GRACE,
        };
        self.me.incarnation = incarnation;
        if self.is_worn_out {
            // Keys that were refused then carry no bar: an earlier try of theirs must not run now.
            self.routes.close_adopted();
            self.is_worn_out = false;
            self.previous = None;
        } else {
            self.previous = Some(previous);
        }
    }

    /// Whether a new incarnation is due: new keys are refused once the tombstones are full.
    #[must_use]
    pub fn needs_renewal(&self) -> bool {
        self.previous.is_none()
            && self.surrender.is_none()
            && self.taken_keys() * 1000 >= self.settings.max_tombstones * RENEWAL_PERMILLE
    }

    pub(super) fn end_grace(&mut self) {
        let now = self.now;
        self.previous = self.previous.take().filter(|previous| now < previous.until);
    }

    /// Whether the incarnation before still takes the key.
    pub(super) fn previous_takes(
        &self,
        incarnation: ids::Incarnation,
        scope: &scope::Scope,
    ) -> bool {
        self.previous.as_ref().is_some_and(|previous| {
            previous.incarnation == incarnation
                && self.now < previous.until
                && !previous.tombstones.contains(scope.digest())
        })
    }
}
