//! The renewal of a home: a new incarnation without a restart.
//!
//! An incarnation is one start or renewal of an instance. A tombstone is the digest of a key whose outcome is
//! no longer retained; an incarnation that has ended needs no tombstones.
//!
//! ```text
//! tombstones three quarters full -> next incarnation; the previous one accepts new keys for 30 s
//! ```

use damaskvane_core::{ids, time};

use crate::home::response_size::ResponseSize;
use crate::home::{scope, table, tombstones};

/// Number of accepted keys, in thousandths of `max_tombstones`, at which the home needs a new incarnation.
const RENEWAL_THRESHOLD_PERMILLE: usize = 750;

/// Time for which lookup responses, which tell a client its instance and home, may still name the previous
/// incarnation.
const PREVIOUS_GRACE: time::SpanMs = time::SpanMs::new(30_000);

/// The previous incarnation of this home, with its tombstones.
///
/// Clients hold lookup responses that name the previous incarnation, and other instances send such
/// responses until they learn of the new one. If the previous incarnation accepted no keys, new keys of
/// these clients would be answered with *unknown* for some seconds.
#[derive(Debug)]
pub(super) struct Previous {
    pub(super) incarnation: ids::Incarnation,
    pub(super) tombstones: tombstones::Tombstones,
    until: time::TimeMs,
}

impl<A: Clone + ResponseSize> table::HomeTable<A> {
    /// Moves to a new incarnation without a restart, so that tombstones can be dropped.
    ///
    /// Stored outcomes are retained. The previous incarnation accepts new keys for another 30 s, so that
    /// lookup responses can change to the new one; afterwards its keys without a record are *unknown*.
    /// The call has no effect if `incarnation` is not higher or the table is closed.
    pub fn renew(&mut self, incarnation: ids::Incarnation) {
        if incarnation <= self.own_home.incarnation || self.closed_table.is_some() {
            return;
        }
        let previous = Previous {
            incarnation: self.own_home.incarnation,
            tombstones: core::mem::take(&mut self.tombstones),
            until: self.now + PREVIOUS_GRACE,
        };
        self.own_home.incarnation = incarnation;
        if self.is_key_limit_reached {
            // Keys rejected at the limit were not recorded as superseded: an earlier attempt of
            // such a key could run now. The previous incarnation and the homes taken over therefore
            // accept no more keys.
            self.routes.close_all();
            self.is_key_limit_reached = false;
            self.previous = None;
        } else {
            self.previous = Some(previous);
        }
    }

    /// Returns whether the home needs a new incarnation, at three quarters of `max_tombstones` accepted keys.
    ///
    /// New keys are rejected once `max_tombstones` keys have been accepted.
    #[must_use]
    pub fn needs_renewal(&self) -> bool {
        self.previous.is_none()
            && self.closed_table.is_none()
            && self.accepted_keys() * 1000
                >= self.settings.max_tombstones * RENEWAL_THRESHOLD_PERMILLE
    }

    pub(super) fn expire_previous(&mut self) {
        let now = self.now;
        self.previous = self.previous.take().filter(|previous| now < previous.until);
    }

    /// Returns whether `incarnation` is the previous one and still accepts the key.
    pub(super) fn previous_accepts(
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
