//! The instances that took over the keys of departed homes.
//!
//! A home is an instance and its incarnation (one start or renewal). A departed home has left and handed its
//! key table over to its successor.

use std::collections;

use damaskvane_core::time;

use crate::home::{name, taken_over};

/// Maximum number of successors followed in a row; the first home of a longer chain departed before the window
/// in which outcomes are retained.
const MAX_HOPS: usize = 8;
/// Maximum number of recorded departed homes: more than a day's planned restarts of all instances.
const MAX_SUCCESSORS: usize = 1_024;

/// The departed homes that this instance took over, and the successors of the others.
#[derive(Debug, Default)]
pub(super) struct Routes {
    taken_over: collections::BTreeMap<name::Home, taken_over::TakenOverHome>,
    closed: collections::BTreeSet<name::Home>,
    successors: collections::BTreeMap<name::Home, (name::Home, time::TimeMs)>,
}

impl Routes {
    /// Returns the takeover that covers `home`: of the same home, or of a later incarnation of its instance.
    pub(super) fn taken_over_for(&self, home: &name::Home) -> Option<&taken_over::TakenOverHome> {
        let later = home.clone()..;
        self.taken_over
            .range(later)
            .map(|(_, taken_over)| taken_over)
            .next()
            .filter(|taken_over| taken_over.home().instance == home.instance)
    }

    pub(super) fn taken_over_mut(
        &mut self,
        home: &name::Home,
    ) -> Option<&mut taken_over::TakenOverHome> {
        self.taken_over.get_mut(home)
    }

    pub(super) fn take_over(
        &mut self,
        taken_over: taken_over::TakenOverHome,
    ) -> &mut taken_over::TakenOverHome {
        self.taken_over
            .entry(taken_over.home().clone())
            .or_insert(taken_over)
    }

    /// Returns whether the home's takeover has expired.
    ///
    /// A repeated part of the handover must not reopen an expired takeover: keys that ran here since
    /// are no longer recorded and would run a second time.
    pub(super) fn is_closed(&self, home: &name::Home) -> bool {
        self.closed.contains(home)
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.closed.len() + self.taken_over.len() < MAX_SUCCESSORS
    }

    pub(super) fn all_taken_over(&self) -> impl Iterator<Item = &taken_over::TakenOverHome> {
        self.taken_over.values()
    }

    /// Returns the last successor in the chain from a home, or the home itself if it has no successor.
    pub(super) fn resolve(&self, home: &name::Home) -> name::Home {
        let mut current = home;
        for _ in 0..MAX_HOPS {
            match self.successor_of(current) {
                Some(successor) => current = successor,
                None => break,
            }
        }
        current.clone()
    }

    /// Returns the successor of a home or of a later incarnation of the same instance.
    ///
    /// The later incarnation may be the same process, which retains the keys of its older incarnations.
    fn successor_of(&self, home: &name::Home) -> Option<&name::Home> {
        let (departed, (successor, _)) = self.successors.range(home.clone()..).next()?;
        (departed.instance == home.instance).then_some(successor)
    }

    /// Records a successor; the first recorded successor stays, since a home hands its table over only once.
    pub(super) fn record_successor(
        &mut self,
        departed: name::Home,
        successor: name::Home,
        until: time::TimeMs,
    ) {
        if departed == successor {
            return;
        }
        if self.successors.len() >= MAX_SUCCESSORS && !self.successors.contains_key(&departed) {
            return;
        }
        self.successors
            .entry(departed)
            .or_insert((successor, until));
    }

    /// Ends all takeovers; keys of these homes that have no record here are *unknown* from now on.
    pub(super) fn close_all(&mut self) {
        self.close_where(|_| true);
    }

    fn close_where(&mut self, is_expired: impl Fn(&taken_over::TakenOverHome) -> bool) {
        let expired = self
            .taken_over
            .values()
            .filter(|taken_over| is_expired(taken_over));
        self.closed
            .extend(expired.map(|taken_over| taken_over.home().clone()));
        self.taken_over
            .retain(|_, taken_over| !is_expired(taken_over));
    }

    pub(super) fn successors(&self) -> impl Iterator<Item = (&name::Home, &name::Home)> {
        self.successors
            .iter()
            .map(|(departed, (successor, _))| (departed, successor))
    }

    pub(super) fn expire(&mut self, now: time::TimeMs) {
        self.close_where(|taken_over| taken_over.is_expired(now));
        self.successors.retain(|_, (_, until)| now < *until);
    }
}
