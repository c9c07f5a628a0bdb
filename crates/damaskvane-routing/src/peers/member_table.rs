//! A table of the instances whose heartbeats were received, indexed by name, zone and incarnation.
//!
//! An incarnation is one start of an instance's process. A digest lists the live instances of one zone for other zones.
//! An aggregator is an instance that sends digests for its zone.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::{Digest, DigestEntry, Heartbeat, IncarnationKey, PeerSettings, Phase};

/// An instance, with its last heartbeat and the time at which this instance received the heartbeat.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) heartbeat: Heartbeat,
    pub(super) received_at: TimeMs,
}

/// The members: this instance, and the instances whose heartbeats it has received.
#[derive(Debug)]
pub(super) struct MemberTable {
    settings: PeerSettings,
    own: ids::InstanceId,
    members: BTreeMap<ids::InstanceId, Member>,
    /// Members of each zone, in the order of their names.
    by_zone: BTreeMap<ids::AvailabilityZoneId, BTreeSet<ids::InstanceId>>,
    by_key: BTreeMap<IncarnationKey, ids::InstanceId>,
}

impl MemberTable {
    /// Returns an empty member table.
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

    /// Returns this instance's own entry, or `None` until this instance has sent its first heartbeat.
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

    /// Returns the live instances of a zone whose phase has the given property, in the order of their names.
    ///
    /// An instance is alive while its last heartbeat is newer than the heartbeat timeout of its zone. This instance is
    /// always alive.
    pub(super) fn alive_in(
        &self,
        now: TimeMs,
        zone: &ids::AvailabilityZoneId,
        has_phase: impl Fn(Phase) -> bool,
    ) -> impl Iterator<Item = &Heartbeat> {
        let alive = self
            .of_zone(zone)
            .filter(move |member| has_phase(member.heartbeat.phase) && self.is_alive(now, member));
        alive.map(|member| &member.heartbeat)
    }

    /// Returns whether the last heartbeat of a member is newer than the timeout of its zone, or it is this instance.
    pub(super) fn is_alive(&self, now: TimeMs, member: &Member) -> bool {
        let is_own = member.heartbeat.instance == self.own;
        is_own || now.since(member.received_at).get() < self.heartbeat_timeout_ms(member)
    }

    /// Returns the live instances of a zone that accept clients, in the order of their names.
    pub(super) fn accepting_in(
        &self,
        now: TimeMs,
        zone: &ids::AvailabilityZoneId,
    ) -> impl Iterator<Item = &Heartbeat> {
        self.alive_in(now, zone, Phase::accepts_clients)
    }

    fn heartbeat_timeout_ms(&self, member: &Member) -> u64 {
        if self.is_in_own_zone(member) {
            self.settings.heartbeat_timeout_ms
        } else {
            self.settings.other_zone_timeout_ms
        }
    }

    /// Returns the aggregators of this instance's zone: among the ready instances whose last heartbeat is newer than
    /// the aggregator timeout, the first few by name.
    pub(super) fn aggregators(&self, now: TimeMs) -> impl Iterator<Item = &Member> {
        let limit = self.settings.aggregator_timeout_ms;
        let aggregators = self.in_own_zone().filter(move |member| {
            let is_own = member.heartbeat.instance == self.own;
            let is_alive = is_own || now.since(member.received_at).get() < limit;
            is_alive && member.heartbeat.phase.accepts_clients()
        });
        aggregators.take(self.settings.aggregators_per_zone)
    }

    pub(super) fn is_aggregator(&self, now: TimeMs) -> bool {
        let mut aggregators = self.aggregators(now);
        aggregators.any(|member| member.heartbeat.instance == self.own)
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

    /// Returns the member whose incarnation has this key, or `None` if no heartbeat of the incarnation was received.
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

    /// Returns the zones that have members, in the order of their names.
    pub(super) fn zones(&self) -> impl Iterator<Item = &ids::AvailabilityZoneId> {
        self.by_zone.keys()
    }

    /// Returns the members of a zone, in the order of their names.
    pub(super) fn of_zone(&self, zone: &ids::AvailabilityZoneId) -> impl Iterator<Item = &Member> {
        let instances = self.by_zone.get(zone).into_iter().flatten();
        instances.filter_map(|id| self.members.get(id))
    }

    /// Adds the incarnation that sent a heartbeat, and removes an earlier incarnation of the same instance.
    pub(super) fn add(&mut self, now: TimeMs, heartbeat: Heartbeat) {
        let instance = heartbeat.instance.clone();
        self.remove(&instance);
        let of_zone = self.by_zone.entry(heartbeat.zone.clone()).or_default();
        of_zone.insert(instance.clone());
        let key = IncarnationKey::of(&heartbeat);
        self.by_key.insert(key, instance.clone());
        let member = Member {
            heartbeat,
            received_at: now,
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

    /// Applies the digest of another zone. Entries for incarnations that aren't in the table are ignored.
    pub(super) fn apply_digest(&mut self, now: TimeMs, digest: &Digest) {
        for entry in &digest.entries {
            let Some(member) = self.by_key_mut(entry.key) else {
                continue;
            };
            // An entry with a lower serial number may be older than the heartbeat that reported the phase `Leaving`.
            if entry.serial < member.heartbeat.serial {
                continue;
            }
            let received_at = TimeMs::new(now.get().saturating_sub(entry.age_ms));
            member.heartbeat.serial = entry.serial;
            member.heartbeat.phase = entry.phase;
            member.received_at = member.received_at.max(received_at);
        }
    }

    /// Returns the digest of the live instances of this instance's zone.
    pub(super) fn digest(&self, now: TimeMs) -> Digest {
        let entries = self.in_own_zone().map(|member| DigestEntry {
            key: IncarnationKey::of(&member.heartbeat),
            serial: member.heartbeat.serial,
            phase: member.heartbeat.phase,
            age_ms: now.since(member.received_at).get(),
        });
        let alive = entries.filter(|entry| entry.age_ms < self.settings.heartbeat_timeout_ms);
        Digest {
            entries: alive.collect(),
        }
    }
}
