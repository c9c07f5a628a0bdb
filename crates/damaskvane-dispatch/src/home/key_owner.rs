//! Determines the owner of a key without a record in the table: the home that may dispatch the key.
//!
//! A home is an instance and its incarnation (one start or renewal); a departed home has a successor that takes
//! over its keys.

use damaskvane_core::ids;

use crate::home::response_size::ResponseSize;
use crate::home::{name, scope, table, taken_over};
use crate::refusal;

/// The instance that decides whether a key without a record in the table is dispatched.
#[derive(Debug)]
pub(super) enum KeyOwner {
    /// This instance, for the given incarnation of the key's home.
    ThisInstance(ids::Incarnation),
    OtherInstance(name::Home),
    /// No instance knows whether the key ran.
    Unknown(refusal::RefusalReason),
}

impl<A: Clone + ResponseSize> table::HomeTable<A> {
    pub(super) fn key_owner(&self, home: &name::Home, scope: &scope::Scope) -> KeyOwner {
        if self.is_own(home) {
            return self.owner_of_own_key(home, scope);
        }
        if self.routes.is_closed(home) {
            return KeyOwner::Unknown(refusal::RefusalReason::KeyExpired);
        }
        if let Some(taken_over) = self.routes.taken_over_for(home) {
            return owner_of_taken_over_key(taken_over, home, scope);
        }
        let successor = self.routes.resolve(home);
        if successor.instance != self.own_home.instance {
            KeyOwner::OtherInstance(successor)
        } else if self.is_own(&successor) {
            // Peers name this instance as the successor, but the handover has not arrived yet.
            KeyOwner::Unknown(refusal::RefusalReason::HomeUnreachable)
        } else {
            KeyOwner::Unknown(refusal::RefusalReason::HomeRestarted)
        }
    }

    fn owner_of_own_key(&self, home: &name::Home, scope: &scope::Scope) -> KeyOwner {
        let is_current = home.incarnation == self.own_home.incarnation;
        let is_taken = is_current && !self.tombstones.contains(scope.digest());
        if is_taken || self.previous_accepts(home.incarnation, scope) {
            KeyOwner::ThisInstance(home.incarnation)
        } else {
            KeyOwner::Unknown(refusal::RefusalReason::KeyExpired)
        }
    }

    /// Returns whether this process has or had the home's incarnation.
    pub(super) fn is_own(&self, home: &name::Home) -> bool {
        home.instance == self.own_home.instance
            && (self.first_incarnation..=self.own_home.incarnation).contains(&home.incarnation)
    }
}

fn owner_of_taken_over_key(
    taken_over: &taken_over::TakenOverHome,
    home: &name::Home,
    scope: &scope::Scope,
) -> KeyOwner {
    if !taken_over.is_complete() {
        KeyOwner::Unknown(refusal::RefusalReason::HomeUnreachable)
    } else if taken_over.home() != home || taken_over.has_tombstone(scope) {
        KeyOwner::Unknown(refusal::RefusalReason::KeyExpired)
    } else {
        KeyOwner::ThisInstance(home.incarnation)
    }
}
