//! The instances that were heard, found by name, by zone and by start.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::{Digest, DigestEntry, Heartbeat, IncarnationKey, PeerSettings, Phase};

/// An instance with its last heartbeat.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) heartbeat: Heartbeat,
    pub(super) heard_at: TimeMs,
}

/// The instances that were heard, the own one too, and which of them are alive.
#[derive(Debug)]
pub(super) struct Roster {
    settings: PeerSettings,
    own: ids::InstanceId,
    members: BTreeMap<ids::InstanceId, Member>,
    /// The members of each zone, in the order of their names.
    by_zone: BTreeMap<ids::AvailabilityZoneId, BTreeSet<ids::InstanceId>>,
    by_key: BTreeMap<IncarnationKey, ids::InstanceId>,
}

impl Roster {
    /// Nobody was heard yet.
    pub(super) const fn new(settings: PeerSettings, own: ids::InstanceId) -> Self {
        Self {
            settings,
            own,
            members: BTreeMap::new(),
            by_zone: BTreeMap::new(),
            by_key: BTreeMap::new(),
        }
    }

    pub(super) const fn own(&self) -> &ids::InstanceId {
        &self.own
    }

    /// The own instance, once it has sent a heartbeat.
    pub(super) fn own_member(&self) -> Option<&Member> {
        self.members.get(&self.own)
    }

    pub(super) fn own_zone(&self) -> Option<&ids::AvailabilityZoneId> {
        let own = self.own_member();
        own.map(|own| &own.heartbeat.zone)
    }

    pub(super) fn is_in_own_zone(&self, member: &Member) -> bool {
        self.own_zone() == Some(&member.heartbeat.zone)
    }

    pub(super) fn in_own_zone(&self) -> impl Iterator<Item = &Member> {
        let zone = self.own_zone().into_iter();
        zone.flat_map(|zone| self.of_zone(zone))
    }

    /// The instances of a zone in a phase that are not silent, in the order of their names.
    pub(super) fn alive_in(
        &self,
        now: TimeMs,
        zone: &ids::AvailabilityZoneId,
        phase: Phase,
    ) -> impl Iterator<Item = &Heartbeat> {
        let alive = self.of_zone(zone).filter(move |member| {
            let is_own = member.heartbeat.instance == self.own;
            let is_heard = now.since(member.heard_at).get() < self.silence_ms(member);
            member.heartbeat.phase == phase && (is_own || is_heard)
        });
        alive.map(|member| &member.heartbeat)
    }

    fn silence_ms(&self, member: &Member) -> u64 {
        if self.is_in_own_zone(member) {
            self.settings.silence_ms
        } else {
            self.settings.other_zone_silence_ms
        }
    }

    /// The instances that speak for the own zone.
    pub(super) fn speaking(&self, now: TimeMs) -> impl Iterator<Item = &Member> {
        let limit = self.settings.speaker_silence_ms;
        let speakers = self.in_own_zone().filter(move |member| {
            let is_own = member.heartbeat.instance == self.own;
            let is_heard = is_own || now.since(member.heard_at).get() < limit;
            is_heard && member.heartbeat.phase == Phase::Ready
        });
        speakers.take(self.settings.speakers_per_zone)
    }

    pub(super) fn is_aggregator(&self, now: TimeMs) -> bool {
        let mut speakers = self.speaking(now);
        speakers.any(|member| member.heartbeat.instance == self.own)
    }

    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn contains(&self, instance: &ids::InstanceId) -> bool {
        self.members.contains_key(instance)
    }

    pub(super) fn get(&self, instance: &ids::InstanceId) -> Option<&Member> {
        self.members.get(instance)
    }

    pub(super) fn get_mut(&mut self, instance: &ids::InstanceId) -> Option<&mut Member> {
        self.members.get_mut(instance)
    }

    /// The member whose start has this key.
    fn by_key_mut(&mut self, key: IncarnationKey) -> Option<&mut Member> {
        let instance = self.by_key.get(&key)?;
        self.members.get_mut(instance)
    }

    pub(super) fn instances(&self) -> impl Iterator<Item = &ids::InstanceId> {
        self.members.keys()
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The zones with members, in the order of their names.
    pub(super) fn zones(&self) -> impl Iterator<Item = &ids::AvailabilityZoneId> {
        self.by_zone.keys()
    }

    /// The members of a zone, in the order of their names.
    pub(super) fn of_zone(&self, zone: &ids::AvailabilityZoneId) -> impl Iterator<Item = &Member> {
        let instances = self.by_zone.get(zone).into_iter().flatten();
        instances.filter_map(|id| self.members.get(id))
    }

    /// Adds a start of an instance in place of an earlier one.
    pub(super) fn add(&mut self, now: TimeMs, heartbeat: Heartbeat) {
        let instance = heartbeat.instance.clone();
        self.remove(&instance);
        let of_zone = self.by_zone.entry(heartbeat.zone.clone()).or_default();
        of_zone.insert(instance.clone());
        let key = IncarnationKey::of(&heartbeat);
        self.by_key.insert(key, instance.clone());
        let member = Member {
            heartbeat,
            heard_at: now,
        };
        self.members.insert(instance, member);
    }

    fn remove(&mut self, instance: &ids::InstanceId) {
        let Some(member) = self.members.remove(instance) else {
            return;
        };
        self.by_key.remove(&IncarnationKey::of(&member.heartbeat));
        if let Some(of_zone) = self.by_zone.get_mut(&member.heartbeat.zone) {
            of_zone.remove(instance);
        }
    }

    /// Takes in what another zone says of its instances, as far as their starts were heard.
    pub(super) fn apply_digest(&mut self, now: TimeMs, digest: &Digest) {
        for entry in &digest.entries {
            let Some(member) = self.by_key_mut(entry.key) else {
                continue;
            };
            // An older count may be from before the word that the instance leaves.
            if entry.serial < member.heartbeat.serial {
                continue;
            }
            let heard_at = TimeMs::new(now.get().saturating_sub(entry.age_ms));
            member.heartbeat.serial = entry.serial;
            member.heartbeat.phase = entry.phase;
            member.heard_at = member.heard_at.max(heard_at);
        }
    }

    /// What the own zone says of its instances.
    pub(super) fn digest(&self, now: TimeMs) -> Digest {
        let entries = self.in_own_zone().map(|member| DigestEntry {
            key: IncarnationKey::of(&member.heartbeat),
            serial: member.heartbeat.serial,
            phase: member.heartbeat.phase,
            age_ms: now.since(member.heard_at).get(),
        });
        let alive = entries.filter(|entry| entry.age_ms < self.settings.silence_ms);
        Digest {
            entries: alive.collect(),
        }
    }
}
