//! Tries that must not run any more, because a later try was answered with *not run*.
//!
//! ```
//! use damaskvane_core::ids;
//! use damaskvane_dispatch::home;
//!
//! let barred = home::Barred { through: 2, incarnation: ids::Incarnation::new(1) };
//! assert_eq!(barred.through, 2);
//! ```

use std::collections;

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

use crate::home::{attempt, scope};

/// How far the tries of a key are barred.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Barred {
    /// The highest try that must not run.
    pub through: u32,
    /// The incarnation of the key's home.
    pub incarnation: ids::Incarnation,
}

/// Bars tries up to a number, for a bounded number of keys.
///
/// A try may lie unread in the socket of a paused instance while the client's next try is answered
/// with *not run*. If the first one ran on resumption, the client would hold a true-looking *not run*
/// for a booking that stands.
#[derive(Debug, Default)]
pub(super) struct Superseded {
    barred: collections::BTreeMap<scope::Scope, (Barred, time::TimeMs)>,
    due: collections::BTreeSet<(time::TimeMs, scope::Scope)>,
}

impl Superseded {
    pub(super) fn bar(&mut self, scope: &scope::Scope, bar: Barred, until: time::TimeMs) {
        if bar.through == attempt::Attempt::UNNUMBERED {
            return;
        }
        let through = match self.remove(scope) {
            Some(earlier) => earlier.through.max(bar.through),
            None => bar.through,
        };
        let bar = Barred { through, ..bar };
        self.due.insert((until, scope.clone()));
        self.barred.insert(scope.clone(), (bar, until));
    }

    pub(super) fn covers(&self, scope: &scope::Scope, try_number: u32) -> bool {
        try_number != attempt::Attempt::UNNUMBERED
            && self
                .barred
                .get(scope)
                .is_some_and(|(bar, _)| try_number <= bar.through)
    }

    pub(super) fn len(&self) -> usize {
        self.barred.len()
    }

    /// Takes out the next key that is due, or the oldest if there are more than `max_barred`.
    pub(super) fn pop_due(
        &mut self,
        now: time::TimeMs,
        max_barred: usize,
    ) -> Option<(scope::Scope, Barred)> {
        let is_over_bound = self.barred.len() > max_barred;
        let (_, scope) = self
            .due
            .first()
            .filter(|(until, _)| is_over_bound || *until <= now)?;
        let scope = scope.clone();
        let bar = self.remove(&scope)?;
        Some((scope, bar))
    }

    pub(super) fn pairs(&self) -> Vec<(scope::Scope, Barred)> {
        self.barred
            .iter()
            .map(|(scope, (bar, _))| (scope.clone(), *bar))
            .collect()
    }

    fn remove(&mut self, scope: &scope::Scope) -> Option<Barred> {
        let (bar, until) = self.barred.remove(scope)?;
        self.due.remove(&(until, scope.clone()));
        Some(bar)
    }
}
