//! The fetch in flight, and the sources to back off from after a failure.
//!
//! A fetch reads a head (the list of a version's objects) or chunks from the store or from a peer.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};

use crate::relay::action::Source;

/// The fetch in flight with its deadline, and when each failed source may be used again.
#[derive(Debug, Clone, Default)]
pub(super) struct Fetch {
    in_flight: Option<(Source, time::TimeMs)>,
    retry_at: BTreeMap<Source, time::TimeMs>,
}

impl Fetch {
    pub(super) fn start(&mut self, from: Source, deadline: time::TimeMs) {
        self.in_flight = Some((from, deadline));
    }

    pub(super) const fn is_idle(&self) -> bool {
        self.in_flight.is_none()
    }

    /// Returns whether a fetch from a peer may start, that is, whether none is in flight. A fetch
    /// in flight from the store doesn't count, since a slow store must not delay fetches from
    /// peers.
    pub(super) const fn is_open_to_peers(&self) -> bool {
        !matches!(self.in_flight, Some((Source::Peer(_), _)))
    }

    /// Ends the fetch in flight if it is from this source, which has responded.
    pub(super) fn end(&mut self, from: &Source) {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|(source, _)| source == from)
        {
            self.in_flight = None;
        }
    }

    /// Ends the fetch from a source that returned nothing useful, and backs off from the source
    /// until the time `until`.
    pub(super) fn back_off(&mut self, from: &Source, until: time::TimeMs) {
        self.end(from);
        self.retry_at.insert(from.clone(), until);
    }

    /// Returns the source of the fetch in flight if its deadline has passed.
    pub(super) fn expired(&self, now: time::TimeMs) -> Option<Source> {
        self.in_flight
            .clone()
            .filter(|(_, deadline)| *deadline <= now)
            .map(|(source, _)| source)
    }

    pub(super) fn is_backing_off(&self, source: &Source, now: time::TimeMs) -> bool {
        self.retry_at.get(source).is_some_and(|until| now < *until)
    }

    /// Removes the back-off of peers that are no longer live.
    pub(super) fn retain_peers(&mut self, is_live: impl Fn(&ids::InstanceId) -> bool) {
        self.retry_at.retain(|source, _| match source {
            Source::Store => true,
            Source::Peer(peer) => is_live(peer),
        });
    }

    /// Returns the peer that reported the highest version above `above`, apart from peers to back
    /// off from.
    pub(super) fn best_peer(
        &self,
        peer_versions: &BTreeMap<ids::InstanceId, ids::ConfigVersion>,
        above: ids::ConfigVersion,
        now: time::TimeMs,
    ) -> Option<ids::InstanceId> {
        peer_versions
            .iter()
            .filter(|(_, version)| **version > above)
            .filter(|(peer, _)| !self.is_backing_off(&Source::Peer((*peer).clone()), now))
            .max_by_key(|(_, version)| **version)
            .map(|(peer, _)| peer.clone())
    }
}
