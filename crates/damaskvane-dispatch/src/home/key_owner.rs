//! Where a key belongs that has no record here.

use damaskvane_core::ids;

use crate::home::response_size::ResponseSize;
use crate::home::{adopted, name, scope, table};
use crate::refusal;

/// Where a key without a record belongs.
#[derive(Debug)]
pub(super) enum Place {
    /// Here, taken by this incarnation of its home instance.
    Here(ids::Incarnation),
    Elsewhere(name::Home),
    /// Whether it ran is not known any more.
    Lost(refusal::RefusalReason),
}

impl<A: Clone + ResponseSize> table::HomeTable<A> {
    pub(super) fn place(&self, home: &name::Home, scope: &scope::Scope) -> Place {
        if self.is_own(home) {
            return self.own_place(home, scope);
        }
        if self.routes.is_closed(home) {
            return Place::Lost(refusal::RefusalReason::KeyExpired);
        }
        if let Some(adopted) = self.routes.adopted_for(home) {
            return adopted_place(adopted, home, scope);
        }
        let successor = self.routes.resolve(home);
        if successor.instance != self.me.instance {
            Place::Elsewhere(successor)
        } else if self.is_own(&successor) {
            // Peers call this instance the successor, but the handover is not here yet.
            Place::Lost(refusal::RefusalReason::HomeUnreachable)
        } else {
            Place::Lost(refusal::RefusalReason::HomeRestarted)
        }
    }

    fn own_place(&self, home: &name::Home, scope: &scope::Scope) -> Place {
        let is_current = home.incarnation == self.me.incarnation;
        let is_taken = is_current && !self.tombstones.contains(scope.digest());
        if is_taken || self.previous_takes(home.incarnation, scope) {
            Place::Here(home.incarnation)
        } else {
            Place::Lost(refusal::RefusalReason::KeyExpired)
        }
    }

    /// Whether this process is or was the incarnation.
    pub(super) fn is_own(&self, home: &name::Home) -> bool {
        home.instance == self.me.instance
            && (self.first_incarnation..=self.me.incarnation).contains(&home.incarnation)
    }
}

fn adopted_place(adopted: &adopted::Adopted, home: &name::Home, scope: &scope::Scope) -> Place {
    if !adopted.is_whole() {
        Place::Lost(refusal::RefusalReason::HomeUnreachable)
    } else if adopted.home() != home || adopted.has_tombstone(scope) {
        Place::Lost(refusal::RefusalReason::KeyExpired)
    } else {
        Place::Here(home.incarnation)
    }
}
