//! The fetch in flight and the sources that failed lately.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::relay::action::Source;

/// The one fetch in flight with its deadline, and until when failed sources are left alone.
#[derive(Debug, Clone, Default)]
pub(super) struct Fetch {
    in_flight: Option<(Source, time::TimeMs)>,
    shunned: BTreeMap<Source, time::TimeMs>,
}

impl Fetch {
    pub(super) fn start(&mut self, from: Source, deadline: time::TimeMs) {
        self.in_flight = Some((from, deadline));
    }

    pub(super) const fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// Whether a fetch from a peer may start. A slow store must not hold it up.
    pub(super) const fn is_open_to_peers(&self) -> bool {
        !matches!(self.in_flight, Some((Source::Peer(_), _)))
    }

    /// A source answered.
    pub(super) fn end(&mut self, from: &Source) {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|(source, _)| source == from)
        {
            self.in_flight = None;
        }
    }

    /// A source gave nothing useful and is left alone for a while.
    pub(super) fn shun(&mut self, from: &Source, until: time::TimeMs) {
        self.end(from);
        self.shunned.insert(from.clone(), until);
    }

    /// The source whose deadline has passed.
    pub(super) fn expired(&self, now: time::TimeMs) -> Option<Source> {
        self.in_flight
            .clone()
            .filter(|(_, deadline)| *deadline <= now)
            .map(|(source, _)| source)
    }

    pub(super) fn is_shunned(&self, source: &Source, now: time::TimeMs) -> bool {
        self.shunned.get(source).is_some_and(|until| now < *until)
    }

    /// Forgets failures of peers that are gone.
    pub(super) fn keep_only(&mut self, is_live: impl Fn(&ids::InstanceId) -> bool) {
        self.shunned.retain(|source, _| match source {
            Source::Store => true,
            Source::Peer(peer) => is_live(peer),
        });
    }

    /// The peer with the highest version above the given one that is not left alone.
    pub(super) fn best_peer(
        &self,
        heard: &BTreeMap<ids::InstanceId, ids::ConfigVersion>,
        above: ids::ConfigVersion,
        now: time::TimeMs,
    ) -> Option<ids::InstanceId> {
        heard
            .iter()
            .filter(|(_, version)| **version > above)
            .filter(|(peer, _)| !self.is_shunned(&Source::Peer((*peer).clone()), now))
            .max_by_key(|(_, version)| **version)
            .map(|(peer, _)| peer.clone())
    }
}
