//! The decisions of one instance.
//!
//! ```
//! use damaskvane_config::relay;
//! use damaskvane_core::time;
//!
//! let me = relay::Member {
//!     instance: "mb-a-1".parse().expect("an id"),
//!     availability_zone: "mb-a".parse().expect("an id"),
//! };
//! let mut relay = relay::Relay::new(me, relay::RelaySettings::default(), 7);
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
use crate::relay::event::Event;
use crate::relay::fetch::Fetch;
use crate::relay::settings::RelaySettings;
use crate::relay::telling::Telling;
use crate::relay::view::{Member, View};

/// How often the head is read again after a watch fired and the read showed nothing new.
const REREADS: u32 = 3;

/// Keeps one instance at the newest head: events and time in, actions out.
#[derive(Debug, Clone)]
pub struct Relay {
    me: Member,
    settings: RelaySettings,
    rng: Pcg64Mcg,
    applier: Applier,
    view: View,
    heard: BTreeMap<ids::InstanceId, ids::ConfigVersion>,
    fetch: Fetch,
    telling: Telling,
    started_at: Option<time::TimeMs>,
    is_watching: bool,
    store_read_due: time::TimeMs,
    rereads_left: u32,
    wanted_chunks: usize,
    zone_heard_at: time::TimeMs,
}

impl Relay {
    /// An instance that has nothing in force; instances take different seeds.
    #[must_use]
    pub fn new(me: Member, settings: RelaySettings, seed: u64) -> Self {
        Self {
            me,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            applier: Applier::default(),
            view: View::default(),
            heard: BTreeMap::new(),
            fetch: Fetch::default(),
            telling: Telling::default(),
            started_at: None,
            is_watching: false,
            store_read_due: time::TimeMs::ZERO,
            rereads_left: 0,
            wanted_chunks: 0,
            zone_heard_at: time::TimeMs::ZERO,
        }
    }

    /// What is in force here.
    #[must_use]
    pub const fn applier(&self) -> &Applier {
        &self.applier
    }

    /// Whether this instance is to watch the store.
    #[must_use]
    pub const fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Takes in an event and tells what to do.
    pub fn handle(&mut self, now: time::TimeMs, event: Event) -> Vec<Action> {
        if self.started_at.is_none() {
            self.start(now);
        }
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.expire(now),
            Event::Membership(view) => self.change_view(now, view, &mut actions),
            Event::VersionReported {
                from,
                version,
                state_hash,
            } => self.hear(now, &from, version, state_hash),
            Event::WatchFired => self.read_after_watch(now),
            Event::Head { from, bytes } => self.take_head(now, &from, &bytes, &mut actions),
            Event::Chunks { from, chunks } => self.take_chunks(now, &from, &chunks, &mut actions),
            Event::FetchFailed { from } => self.fail(now, &from),
        }
        self.fetch_if_needed(now, &mut actions);
        self.tell(now, &mut actions);
        actions
    }

    fn start(&mut self, now: time::TimeMs) {
        self.started_at = Some(now);
        self.zone_heard_at = now;
        self.store_read_due = now;
    }

    fn read_after_watch(&mut self, now: time::TimeMs) {
        self.store_read_due = now;
        self.rereads_left = REREADS;
    }

    fn change_view(&mut self, now: time::TimeMs, view: View, actions: &mut Vec<Action>) {
        let is_live = |peer: &ids::InstanceId| view.members.iter().any(|m| m.instance == *peer);
        self.heard.retain(|peer, _| is_live(peer));
        self.fetch.keep_only(is_live);
        self.view = view;
        let is_relay = self.view.is_relay(&self.me, self.settings.relays_per_zone);
        if is_relay && !self.is_watching {
            actions.push(Action::WatchStore);
            self.store_read_due = now + self.jitter(self.settings.tell_again_ms);
        }
        if !is_relay && self.is_watching {
            actions.push(Action::StopWatching);
        }
        self.is_watching = is_relay;
    }

    fn hear(
        &mut self,
        now: time::TimeMs,
        from: &ids::InstanceId,
        version: ids::ConfigVersion,
        state_hash: Option<ContentHash>,
    ) {
        if self.is_of_my_zone(from) {
            self.zone_heard_at = now;
        }
        if let Some(hash) = state_hash {
            self.applier.check_peer_state(version, &hash);
        }
        self.heard.insert(from.clone(), version);
        let mine = self.applier.version();
        if version >= mine {
            self.telling.stop(from);
        } else if !self.telling.is_telling(from) {
            // An instance that was paused or cut off comes back with an old head.
            self.telling
                .start(from, now, self.settings.tell_again_ms, 1);
        }
    }

    fn take_head(
        &mut self,
        now: time::TimeMs,
        from: &Source,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.fetch.end(from);
        let outcome = self.applier.offer_head(bytes);
        if let ApplyOutcome::Ignored(reason) = outcome {
            self.note_useless_head(now, from, reason);
        }
        self.conclude(now, from, outcome, actions);
    }

    fn note_useless_head(&mut self, now: time::TimeMs, from: &Source, reason: IgnoreReason) {
        match from {
            // The peer claimed more than it has; believing it again would fetch without end.
            Source::Peer(peer) => {
                self.heard.remove(peer);
                if reason != IgnoreReason::NotNewer {
                    self.fail(now, from);
                }
            }
            // The watch fired, but the read was answered from before: a stale read. Without another
            // one the zone would keep the old head until the next poll.
            Source::Store if self.rereads_left > 0 => {
                self.rereads_left -= 1;
                self.store_read_due = now + self.jitter(self.settings.tell_again_ms);
            }
            Source::Store => {}
        }
    }

    fn take_chunks(
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
            && missing.len() >= self.wanted_chunks
        {
            // Absent or corrupted there: another source may have them.
            self.fail(now, from);
            return;
        }
        self.conclude(now, from, outcome, actions);
    }

    fn conclude(
        &mut self,
        now: time::TimeMs,
        from: &Source,
        outcome: ApplyOutcome,
        actions: &mut Vec<Action>,
    ) {
        match outcome {
            ApplyOutcome::Ignored(_) => {}
            ApplyOutcome::Rejected(_) => self.fail(now, from),
            ApplyOutcome::MissingChunks(hashes) => {
                self.wanted_chunks = hashes.len();
                self.fetch.start(from.clone(), self.deadline(now, from));
                let from = from.clone();
                actions.push(Action::FetchChunks { from, hashes });
            }
            ApplyOutcome::Applied(version) => {
                self.rereads_left = 0;
                actions.push(Action::Activated { version });
                self.start_telling(now, from);
            }
        }
    }

    /// Begins to tell others of what came into force just now, learnt from `from`.
    fn start_telling(&mut self, now: time::TimeMs, from: &Source) {
        self.telling.clear();
        let mut targets = Vec::new();
        match from {
            Source::Store => {
                targets.extend(self.zone_peers());
                targets.extend(self.one_of_each_other_zone());
            }
            Source::Peer(peer) if self.is_of_my_zone(peer) => {
                // Told back once, so that the peer stops telling.
                self.telling
                    .start(peer, now, self.settings.tell_again_ms, 1);
            }
            Source::Peer(peer) => {
                self.telling
                    .start(peer, now, self.settings.tell_again_ms, 1);
                targets.extend(self.zone_peers());
            }
        }
        let mine = self.applier.version();
        for target in targets {
            let known = self.heard.get(&target).copied().unwrap_or_default();
            if known < mine {
                let times = self.settings.tell_times;
                self.telling
                    .start(&target, now, self.settings.tell_again_ms, times);
            }
        }
    }

    fn tell(&mut self, now: time::TimeMs, actions: &mut Vec<Action>) {
        let Some(active_config) = self.applier.active_config() else {
            return;
        };
        let (version, state_hash) = (active_config.version(), active_config.state_hash());
        for to in self.telling.due(now) {
            actions.push(Action::Announce {
                to,
                version,
                state_hash,
            });
        }
    }

    fn expire(&mut self, now: time::TimeMs) {
        if let Some(source) = self.fetch.expired(now) {
            self.fail(now, &source);
        }
    }

    fn fail(&mut self, now: time::TimeMs, from: &Source) {
        let longest = match from {
            Source::Store => self.settings.retry_ms,
            Source::Peer(_) => self.settings.peer_retry_ms,
        };
        let until = now + self.jitter(longest);
        self.fetch.shun(from, until);
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
        let mine = self.applier.version();
        if self.fetch.is_open_to_peers()
            && let Some(peer) = self.fetch.best_peer(&self.heard, mine, now)
        {
            return Some(Source::Peer(peer));
        }
        let is_due = self.store_read_due <= now && self.may_read_store(now);
        if !self.fetch.is_idle() || !is_due || self.fetch.is_shunned(&Source::Store, now) {
            return None;
        }
        let period = if self.is_watching {
            self.settings.poll_ms
        } else {
            self.settings.lonely_poll_ms
        };
        self.store_read_due = now + self.jitter(period);
        Some(Source::Store)
    }

    /// Relays read the store; others only while they have nothing or hear nobody of their zone.
    fn may_read_store(&self, now: time::TimeMs) -> bool {
        let started_at = self.started_at.unwrap_or(now);
        let has_peers = !self.view.members.is_empty();
        if self.applier.active_config().is_none() {
            let graced = now.since(started_at) >= self.settings.boot_grace_ms;
            return graced || !has_peers;
        }
        let silence = now.since(self.zone_heard_at);
        self.is_watching || silence >= self.settings.lonely_poll_ms
    }

    fn deadline(&self, now: time::TimeMs, from: &Source) -> time::TimeMs {
        match from {
            Source::Store => now + self.settings.store_timeout_ms,
            Source::Peer(peer) if self.is_of_my_zone(peer) => now + self.settings.near_timeout_ms,
            Source::Peer(_) => now + self.settings.peer_timeout_ms,
        }
    }

    /// A span between half of `most` and the whole.
    fn jitter(&mut self, most: time::SpanMs) -> time::SpanMs {
        let most = most.get();
        time::SpanMs::new(self.rng.random_range(most / 2..=most))
    }

    fn zone_peers(&self) -> Vec<ids::InstanceId> {
        self.view
            .of_zone(&self.me.availability_zone)
            .cloned()
            .collect()
    }

    fn one_of_each_other_zone(&mut self) -> Vec<ids::InstanceId> {
        let rng = &mut self.rng;
        self.view
            .other_zones(&self.me.availability_zone)
            .values()
            .map(|instances| instances[rng.random_range(0..instances.len())].clone())
            .collect()
    }

    fn is_of_my_zone(&self, peer: &ids::InstanceId) -> bool {
        self.view
            .of_zone(&self.me.availability_zone)
            .any(|other| other == peer)
    }
}
