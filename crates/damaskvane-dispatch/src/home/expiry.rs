//! What becomes of keys that are overdue, older than the window, or given back.

use damaskvane_core::ids;

use crate::home::response_size::ResponseSize;
use crate::home::{begin, name, record, scope, superseded, table};
use crate::outcome;
use crate::refusal;

impl<A: Clone + ResponseSize> table::HomeTable<A> {
    pub(super) fn give_up(
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

    pub(super) fn bury(&mut self, scope: &scope::Scope, incarnation: ids::Incarnation) {
        let home = name::Home::new(scope.instance.clone(), incarnation);
        if home == self.me {
            self.tombstones.insert(scope.digest());
        } else if let Some(previous) = self.previous.as_mut().filter(|previous| {
            home.instance == self.me.instance && previous.incarnation == home.incarnation
        }) {
            previous.tombstones.insert(scope.digest());
        } else if let Some(adopted) = self.routes.adopted_mut(&home) {
            adopted.add_tombstone(scope);
        }
    }

    pub(super) fn bar(&mut self, scope: &scope::Scope, bar: superseded::Barred) {
        let until = self.now + self.settings.window();
        self.superseded.bar(scope, bar, until);
        self.bury_superseded();
    }

    /// Keys that were answered with *not run* and not tried again since: a try that comes now may be
    /// an old one, so that running it could make that answer untrue.
    pub(super) fn bury_superseded(&mut self) {
        let max_superseded = self.settings.max_superseded;
        while let Some((scope, bar)) = self.superseded.pop_due(self.now, max_superseded) {
            if self.records.get(&scope).is_none() {
                self.bury(&scope, bar.incarnation);
            }
        }
    }
}
