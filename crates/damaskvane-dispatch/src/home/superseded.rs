//! Tries that must not run any more, because a later try was answered with *not run*.

use std::collections;

use damaskvane_core::time;

use crate::home::{attempt, scope};

/// Bars tries up to a number, for a while and for a bounded number of keys.
///
/// A try may lie unread in the socket of a paused instance while the client's next try is answered
/// with *not run*. If the first one ran on resumption, the client would hold a true-looking *not run*
/// for a booking that stands.
#[derive(Debug, Default)]
pub(super) struct Superseded {
    barred: collections::BTreeMap<scope::Scope, Barred>,
    oldest: collections::VecDeque<(time::TimeMs, scope::Scope)>,
}

#[derive(Debug)]
struct Barred {
    through: u32,
    until: time::TimeMs,
}

impl Superseded {
    pub(super) fn bar(
        &mut self,
        scope: &scope::Scope,
        through: u32,
        until: time::TimeMs,
        max_barred: usize,
    ) {
        if through == attempt::Attempt::UNNUMBERED {
            return;
        }
        let barred = self
            .barred
            .entry(scope.clone())
            .or_insert(Barred { through, until });
        barred.through = barred.through.max(through);
        barred.until = barred.until.max(until);
        self.oldest.push_back((until, scope.clone()));
        while self.oldest.len() > max_barred {
            self.drop_oldest();
        }
    }

    pub(super) fn covers(&self, scope: &scope::Scope, try_number: u32) -> bool {
        try_number != attempt::Attempt::UNNUMBERED
            && self
                .barred
                .get(scope)
                .is_some_and(|barred| try_number <= barred.through)
    }

    pub(super) fn expire(&mut self, now: time::TimeMs) {
        while self.oldest.front().is_some_and(|(until, _)| *until <= now) {
            self.drop_oldest();
        }
    }

    pub(super) fn pairs(&self) -> Vec<(scope::Scope, u32)> {
        self.barred
            .iter()
            .map(|(scope, barred)| (scope.clone(), barred.through))
            .collect()
    }

    fn drop_oldest(&mut self) {
        let Some((until, scope)) = self.oldest.pop_front() else {
            return;
        };
        // A key that was barred again since has a later entry in the queue.
        if self
            .barred
            .get(&scope)
            .is_some_and(|barred| barred.until <= until)
        {
            self.barred.remove(&scope);
        }
    }
}
