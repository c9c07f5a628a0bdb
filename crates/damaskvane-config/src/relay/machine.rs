//! The state machine that keeps one instance at the newest head.
//!
//! A head is the stored list of all objects of one configuration version.
//!
//! ```
//! use damaskvane_config::relay;
//! use damaskvane_core::time;
//!
//! let local = relay::Member {
//!     instance: "mb-a-1".parse().expect("an id"),
//!     availability_zone: "mb-a".parse().expect("an id"),
//! };
//! let mut relay = relay::Relay::new(local, relay::RelaySettings::default(), 7);
//! let view = relay::Event::Membership(relay::View::default());
//! let actions = relay.handle(time::TimeMs::ZERO, view);
//! assert!(actions.contains(&relay::Action::WatchStore));
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;

use damaskvane_core::hash::ContentHash;
use damaskvane_core::{ids, time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::apply::{Applier, ApplyOutcome, IgnoreReason};
use crate::relay::action::{Action, Source};
use crate::relay::announcements::Announcements;
use crate::relay::event::Event;
use crate::relay::fetch::Fetch;
use crate::relay::settings::RelaySettings;
use crate::relay::view::{Member, View};

/// Maximum number of repeated reads after the watch reported a change but a read showed none.
const MAX_STALE_REREADS: u32 = 3;

/// Keeps one instance at the newest head; it takes events and the time, and returns actions.
#[derive(Debug, Clone)]
pub struct Relay {
    local: Member,
    settings: RelaySettings,
    rng: Pcg64Mcg,
    applier: Applier,
    view: View,
    peer_versions: BTreeMap<ids::InstanceId, ids::ConfigVersion>,
    fetch: Fetch,
    announcements: Announcements,
    started_at: Option<time::TimeMs>,
    is_watching: bool,
    store_read_due: time::TimeMs,
    remaining_rereads: u32,
    last_missing_chunks: usize,
    last_zone_report_at: time::TimeMs,
}

impl Relay {
    /// Returns the relay of an instance without a configuration.
    ///
    /// Instances pass different seeds, so that their random delays differ.
    #[must_use]
    pub fn new(local: Member, settings: RelaySettings, seed: u64) -> Self {
        Self {
            local,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            applier: Applier::default(),
            view: View::default(),
            peer_versions: BTreeMap::new(),
            fetch: Fetch::default(),
            announcements: Announcements::default(),
            started_at: None,
            is_watching: false,
            store_read_due: time::TimeMs::ZERO,
            remaining_rereads: 0,
            last_missing_chunks: 0,
            last_zone_report_at: time::TimeMs::ZERO,
        }
    }

    /// Returns the applier, which holds the active configuration.
    #[must_use]
    pub const fn applier(&self) -> &Applier {
        &self.applier
    }

    /// Returns whether this instance is a relay of its zone and so has to watch the store.
    #[must_use]
    pub const fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Handles an event and returns the actions that follow from it.
    pub fn handle(&mut self, now: time::TimeMs, event: Event) -> Vec<Action> {
        if self.started_at.is_none() {
            self.start(now);
        }
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.check_deadline(now),
            Event::Membership(view) => self.handle_membership(now, view, &mut actions),
            Event::VersionReported {
                from,
                version,
                state_hash,
            } => self.handle_version_report(now, &from, version, state_hash),
            Event::WatchFired => self.handle_watch_event(now),
            Event::Head { from, bytes } => self.handle_head(now, &from, &bytes, &mut actions),
            Event::Chunks { from, chunks } => self.handle_chunks(now, &from, &chunks, &mut actions),
            Event::FetchFailed { from } => self.record_failure(now, &from),
        }
        self.fetch_if_needed(now, &mut actions);
        self.announce(now, &mut actions);
        actions
    }

    fn start(&mut self, now: time::TimeMs) {
        self.started_at = Some(now);
        self.last_zone_report_at = now;
        self.store_read_due = now;
    }

    fn handle_watch_event(&mut self, now: time::TimeMs) {
        self.store_read_due = now;
        self.remaining_rereads = MAX_STALE_REREADS;
    }

    fn handle_membership(&mut self, now: time::TimeMs, view: View, actions: &mut Vec<Action>) {
        let is_live = |peer: &ids::InstanceId| view.members.iter().any(|m| m.instance == *peer);
        self.peer_versions.retain(|peer, _| is_live(peer));
        self.fetch.retain_peers(is_live);
        self.view = view;
        let is_relay = self
            .view
            .is_relay(&self.local, self.settings.relays_per_zone);
        if is_relay && !self.is_watching {
            actions.push(Action::WatchStore);
            self.store_read_due = now + self.jitter(self.settings.announce_retry_ms);
        }
        if !is_relay && self.is_watching {
            actions.push(Action::StopWatching);
        }
        self.is_watching = is_relay;
    }

    fn handle_version_report(
        &mut self,
        now: time::TimeMs,
        from: &ids::InstanceId,
        version: ids::ConfigVersion,
        state_hash: Option<ContentHash>,
    ) {
        if self.is_in_own_zone(from) {
            self.last_zone_report_at = now;
        }
        if let Some(hash) = state_hash {
            self.applier.check_peer_state(version, &hash);
        }
        self.peer_versions.insert(from.clone(), version);
        let own_version = self.applier.version();
        if version >= own_version {
            self.announcements.stop(from);
        } else if !self.announcements.is_announcing(from) {
            // An instance that was paused or disconnected has returned with an old head.
            self.announcements
                .start(from, now, self.settings.announce_retry_ms, 1);
        }
    }

    fn handle_head(
        &mut self,
        now: time::TimeMs,
        from: &Source,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.fetch.end(from);
        let outcome = self.applier.offer_head(bytes);
        if let ApplyOutcome::Ignored(reason) = outcome {
            self.handle_ignored_head(now, from, reason);
        }
        self.handle_outcome(now, from, outcome, actions);
    }

    fn handle_ignored_head(&mut self, now: time::TimeMs, from: &Source, reason: IgnoreReason) {
        match from {
            // The peer reported a higher version than it has. Its report is dropped, since
            // otherwise the head would be fetched from this peer again and again.
            Source::Peer(peer) => {
                self.peer_versions.remove(peer);
                if reason != IgnoreReason::NotNewer {
                    self.record_failure(now, from);
                }
            }
            // The watch reported a change, but a stale read returned the old head. Without another
            // read the zone would keep the old head until the next poll.
            Source::Store if self.remaining_rereads > 0 => {
                self.remaining_rereads -= 1;
                self.store_read_due = now + self.jitter(self.settings.announce_retry_ms);
            }
            Source::Store => {}
        }
    }

    fn handle_chunks(
        &mut self,
        now: time::TimeMs,
        from: &Source,
        chunks: &[Arc<[u8]>],
        actions: &mut Vec<Action>,
    ) {
        self.fetch.end(from);
        let chunks = chunks.iter().map(AsRef::as_ref);
        let outcome = self.applier.offer_chunks(chunks);
        if let ApplyOutcome::MissingChunks(missing) = &outcome
            && missing.len() >= self.last_missing_chunks
        {
            // The source lacks the missing chunks or has them corrupted; another source may have
            // them.
            self.record_failure(now, from);
            return;
        }
        self.handle_outcome(now, from, outcome, actions);
    }

    fn handle_outcome(
        &mut self,
        now: time::TimeMs,
        from: &Source,
        outcome: ApplyOutcome,
        actions: &mut Vec<Action>,
    ) {
        match outcome {
            ApplyOutcome::Ignored(_) => {}
            ApplyOutcome::Rejected(_) => self.record_failure(now, from),
            ApplyOutcome::MissingChunks(hashes) => {
                self.last_missing_chunks = hashes.len();
                self.fetch.start(from.clone(), self.deadline(now, from));
                let from = from.clone();
                actions.push(Action::FetchChunks { from, hashes });
            }
            ApplyOutcome::Applied(version) => {
                self.remaining_rereads = 0;
                actions.push(Action::Activated { version });
                self.start_announcements(now, from);
            }
        }
    }

    /// Starts to announce the version that just became active and was fetched from `from`.
    fn start_announcements(&mut self, now: time::TimeMs, from: &Source) {
        self.announcements.clear();
        let mut targets = Vec::new();
        match from {
            Source::Store => {
                targets.extend(self.zone_peers());
                targets.extend(self.one_of_each_other_zone());
            }
            Source::Peer(peer) if self.is_in_own_zone(peer) => {
                // One announcement back to the peer, so that the peer stops announcing to this
                // instance.
                self.announcements
                    .start(peer, now, self.settings.announce_retry_ms, 1);
            }
            Source::Peer(peer) => {
                self.announcements
                    .start(peer, now, self.settings.announce_retry_ms, 1);
                targets.extend(self.zone_peers());
            }
        }
        let own_version = self.applier.version();
        for target in targets {
            let peer_version = self.peer_versions.get(&target).copied().unwrap_or_default();
            if peer_version < own_version {
                let times = self.settings.max_announcements;
                self.announcements
                    .start(&target, now, self.settings.announce_retry_ms, times);
            }
        }
    }

    fn announce(&mut self, now: time::TimeMs, actions: &mut Vec<Action>) {
        let Some(active_config) = self.applier.active_config() else {
            return;
        };
        let (version, state_hash) = (active_config.version(), active_config.state_hash());
        for to in self.announcements.due(now) {
            actions.push(Action::Announce {
                to,
                version,
                state_hash,
            });
        }
    }

    fn check_deadline(&mut self, now: time::TimeMs) {
        if let Some(source) = self.fetch.expired(now) {
            self.record_failure(now, &source);
        }
    }

    fn record_failure(&mut self, now: time::TimeMs, from: &Source) {
        let longest = match from {
            Source::Store => self.settings.store_retry_ms,
            Source::Peer(_) => self.settings.peer_retry_ms,
        };
        let until = now + self.jitter(longest);
        self.fetch.back_off(from, until);
        if *from == Source::Store {
            self.store_read_due = until;
        }
    }

    fn fetch_if_needed(&mut self, now: time::TimeMs, actions: &mut Vec<Action>) {
        if let Some(from) = self.next_source(now) {
            self.fetch.start(from.clone(), self.deadline(now, &from));
            actions.push(Action::FetchHead { from });
        }
    }

    fn next_source(&mut self, now: time::TimeMs) -> Option<Source> {
        let own_version = self.applier.version();
        if self.fetch.is_open_to_peers()
            && let Some(peer) = self.fetch.best_peer(&self.peer_versions, own_version, now)
        {
            return Some(Source::Peer(peer));
        }
        let is_due = self.store_read_due <= now && self.may_read_store(now);
        if !self.fetch.is_idle() || !is_due || self.fetch.is_backing_off(&Source::Store, now) {
            return None;
        }
        let period = if self.is_watching {
            self.settings.poll_ms
        } else {
            self.settings.isolated_poll_ms
        };
        self.store_read_due = now + self.jitter(period);
        Some(Source::Store)
    }

    /// Returns whether this instance may read the store.
    ///
    /// An instance without a configuration may once `startup_grace_ms` has passed, or at once if it
    /// has no peers. Relays with a configuration always may. Other instances may while no instance
    /// of their zone has reported a version for `isolated_poll_ms`.
    fn may_read_store(&self, now: time::TimeMs) -> bool {
        let started_at = self.started_at.unwrap_or(now);
        let has_peers = !self.view.members.is_empty();
        if self.applier.active_config().is_none() {
            let is_grace_over = now.since(started_at) >= self.settings.startup_grace_ms;
            return is_grace_over || !has_peers;
        }
        let silence = now.since(self.last_zone_report_at);
        self.is_watching || silence >= self.settings.isolated_poll_ms
    }

    fn deadline(&self, now: time::TimeMs, from: &Source) -> time::TimeMs {
        match from {
            Source::Store => now + self.settings.store_timeout_ms,
            Source::Peer(peer) if self.is_in_own_zone(peer) => {
                now + self.settings.same_zone_timeout_ms
            }
            Source::Peer(_) => now + self.settings.other_zone_timeout_ms,
        }
    }

    /// Returns a random span from half of `max` to `max`.
    fn jitter(&mut self, max: time::SpanMs) -> time::SpanMs {
        let max = max.get();
        time::SpanMs::new(self.rng.random_range(max / 2..=max))
    }

    fn zone_peers(&self) -> Vec<ids::InstanceId> {
        self.view
            .in_zone(&self.local.availability_zone)
            .cloned()
            .collect()
    }

    fn one_of_each_other_zone(&mut self) -> Vec<ids::InstanceId> {
        let rng = &mut self.rng;
        self.view
            .other_zones(&self.local.availability_zone)
            .values()
            .map(|instances| instances[rng.random_range(0..instances.len())].clone())
            .collect()
    }

    fn is_in_own_zone(&self, peer: &ids::InstanceId) -> bool {
        self.view
            .in_zone(&self.local.availability_zone)
            .any(|other| other == peer)
    }
}
