//! Expiry of keys: running ones that are overdue, and ones whose outcome or *not run* is past its window.
//!
//! A tombstone is the digest of a key whose outcome is no longer retained; the key never runs again.

use damaskvane_core::ids;

use crate::home::response_size::ResponseSize;
use crate::home::{begin, name, record, scope, superseded, table};
use crate::outcome;
use crate::refusal;

impl<A: Clone + ResponseSize> table::HomeTable<A> {
    pub(super) fn abandon(
        &mut self,
        scope: scope::Scope,
        record: record::Record<A>,
    ) -> begin::FinishedKey<A> {
        let outcome = outcome::Outcome::unknown(refusal::RefusalReason::OutcomeLost);
        let mut waiters = Vec::new();
        if let record::State::Running {
            waiters: joined, ..
        } = record.state
        {
            waiters = joined;
        }
        let state = record::State::Done {
            outcome: outcome.clone(),
            until: self.now + self.settings.window(),
        };
        self.records
            .insert(scope, record::Record { state, ..record });
        begin::FinishedKey { outcome, waiters }
    }

    pub(super) fn insert_tombstone(&mut self, scope: &scope::Scope, incarnation: ids::Incarnation) {
        let home = name::Home::new(scope.instance.clone(), incarnation);
        if home == self.own_home {
            self.tombstones.insert(scope.digest());
        } else if let Some(previous) = self.previous.as_mut().filter(|previous| {
            home.instance == self.own_home.instance && previous.incarnation == home.incarnation
        }) {
            previous.tombstones.insert(scope.digest());
        } else if let Some(taken_over) = self.routes.taken_over_mut(&home) {
            taken_over.add_tombstone(scope);
        }
    }

    pub(super) fn supersede(
        &mut self,
        scope: &scope::Scope,
        attempts: superseded::SupersededAttempts,
    ) {
        let until = self.now + self.settings.window();
        self.superseded.supersede(scope, attempts, until);
        self.expire_superseded();
    }

    /// Adds tombstones for expired keys that were answered with *not run* and not attempted since.
    ///
    /// An attempt that arrives later may have been sent before the answer *not run*; running the attempt could
    /// make that answer false.
    pub(super) fn expire_superseded(&mut self) {
        let max_superseded = self.settings.max_superseded;
        while let Some((scope, attempts)) = self.superseded.pop_due(self.now, max_superseded) {
            if self.records.get(&scope).is_none() {
                self.insert_tombstone(&scope, attempts.incarnation);
            }
        }
    }
}
