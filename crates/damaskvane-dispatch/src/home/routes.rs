//! Which instance answers for a departed home.

use std::collections;

use damaskvane_core::time;

use crate::home::{adopted, name};

/// How many successors in a row are followed; a longer chain is older than the window.
const MAX_HOPS: usize = 8;
/// How many departed homes are remembered: more than a day's planned restarts of the whole fleet.
const MAX_SUCCESSORS: usize = 1_024;

/// Departed homes: those adopted here and the successors of the others.
#[derive(Debug, Default)]
pub(super) struct Routes {
    adopted: collections::BTreeMap<name::Home, adopted::Adopted>,
    closed: collections::BTreeSet<name::Home>,
    successors: collections::BTreeMap<name::Home, (name::Home, time::TimeMs)>,
}

impl Routes {
    /// The adopted home that answers for `home`: itself, or a later incarnation of the same table.
    pub(super) fn adopted_for(&self, home: &name::Home) -> Option<&adopted::Adopted> {
        let later = home.clone()..;
        self.adopted
            .range(later)
            .map(|(_, adopted)| adopted)
            .next()
            .filter(|adopted| adopted.home().instance == home.instance)
    }

    pub(super) fn adopted_mut(&mut self, home: &name::Home) -> Option<&mut adopted::Adopted> {
        self.adopted.get_mut(home)
    }

    pub(super) fn adopt(&mut self, adopted: adopted::Adopted) -> &mut adopted::Adopted {
        self.adopted
            .entry(adopted.home().clone())
            .or_insert(adopted)
    }

    /// Whether the home's adoption is over.
    ///
    /// A part of its handover that arrives again after that must not open it anew: keys that ran here
    /// since are forgotten, and would run a second time.
    pub(super) fn is_closed(&self, home: &name::Home) -> bool {
        self.closed.contains(home)
    }

    pub(super) fn has_room(&self) -> bool {
        self.closed.len() + self.adopted.len() < MAX_SUCCESSORS
    }

    pub(super) fn all_adopted(&self) -> impl Iterator<Item = &adopted::Adopted> {
        self.adopted.values()
    }

    /// The last successor of a home, or the home itself.
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

    /// Who took over from a home, or from a later incarnation: that one may be the same process, which
    /// keeps the keys of its older incarnations.
    fn successor_of(&self, home: &name::Home) -> Option<&name::Home> {
        let (departed, (successor, _)) = self.successors.range(home.clone()..).next()?;
        (departed.instance == home.instance).then_some(successor)
    }

    /// Notes a successor; the first one named stays, since a second can't hold the table.
    pub(super) fn learn(
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

    /// Ends every adoption: its keys that are not kept are *unknown* from here on.
    pub(super) fn close_adopted(&mut self) {
        self.close_where(|_| true);
    }

    fn close_where(&mut self, is_over: impl Fn(&adopted::Adopted) -> bool) {
        let over = self.adopted.values().filter(|adopted| is_over(adopted));
        self.closed
            .extend(over.map(|adopted| adopted.home().clone()));
        self.adopted.retain(|_, adopted| !is_over(adopted));
    }

    pub(super) fn successors(&self) -> impl Iterator<Item = (&name::Home, &name::Home)> {
        self.successors
            .iter()
            .map(|(departed, (successor, _))| (departed, successor))
    }

    pub(super) fn expire(&mut self, now: time::TimeMs) {
        self.close_where(|adopted| adopted.is_over(now));
        self.successors.retain(|_, (_, until)| now < *until);
    }
}
