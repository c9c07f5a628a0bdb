//! Attempts that must not run, because a later attempt was answered with *not run*.
//!
//! ```
//! use damaskvane_core::ids;
//! use damaskvane_dispatch::home;
//!
//! let attempts = home::SupersededAttempts { highest_try: 2, incarnation: ids::Incarnation::new(1) };
//! assert_eq!(attempts.highest_try, 2);
//! ```

use std::collections;

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

use crate::home::{attempt, scope};

/// The attempts of a key that must not run: all up to `highest_try`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct SupersededAttempts {
    /// The number of the highest attempt that must not run.
    #[serde(rename = "through")]
    pub highest_try: u32,
    /// The incarnation (one start or renewal) of the key's home instance.
    pub incarnation: ids::Incarnation,
}

/// Superseded attempts of a bounded number of keys.
///
/// An attempt may wait unread in the socket of a paused instance while the client's next attempt is
/// answered with *not run*. If the first attempt ran once the instance resumes, the client would hold a
/// false *not run* for a booking that exists.
#[derive(Debug, Default)]
pub(super) struct Superseded {
    entries: collections::BTreeMap<scope::Scope, (SupersededAttempts, time::TimeMs)>,
    due: collections::BTreeSet<(time::TimeMs, scope::Scope)>,
}

impl Superseded {
    pub(super) fn supersede(
        &mut self,
        scope: &scope::Scope,
        attempts: SupersededAttempts,
        until: time::TimeMs,
    ) {
        if attempts.highest_try == attempt::Attempt::UNNUMBERED {
            return;
        }
        let highest_try = match self.remove(scope) {
            Some(earlier) => earlier.highest_try.max(attempts.highest_try),
            None => attempts.highest_try,
        };
        let attempts = SupersededAttempts {
            highest_try,
            ..attempts
        };
        self.due.insert((until, scope.clone()));
        self.entries.insert(scope.clone(), (attempts, until));
    }

    pub(super) fn contains(&self, scope: &scope::Scope, try_number: u32) -> bool {
        try_number != attempt::Attempt::UNNUMBERED
            && self
                .entries
                .get(scope)
                .is_some_and(|(attempts, _)| try_number <= attempts.highest_try)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Removes and returns the next key whose entry has expired, or the key that expires first if there are
    /// more than `max_entries`.
    pub(super) fn pop_due(
        &mut self,
        now: time::TimeMs,
        max_entries: usize,
    ) -> Option<(scope::Scope, SupersededAttempts)> {
        let is_over_bound = self.entries.len() > max_entries;
        let (_, scope) = self
            .due
            .first()
            .filter(|(until, _)| is_over_bound || *until <= now)?;
        let scope = scope.clone();
        let attempts = self.remove(&scope)?;
        Some((scope, attempts))
    }

    pub(super) fn to_vec(&self) -> Vec<(scope::Scope, SupersededAttempts)> {
        self.entries
            .iter()
            .map(|(scope, (attempts, _))| (scope.clone(), *attempts))
            .collect()
    }

    fn remove(&mut self, scope: &scope::Scope) -> Option<SupersededAttempts> {
        let (attempts, until) = self.entries.remove(scope)?;
        self.due.remove(&(until, scope.clone()));
        Some(attempts)
    }
}
