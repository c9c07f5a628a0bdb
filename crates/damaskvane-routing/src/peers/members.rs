//! The instances that are known, with the last word from each.

use std::collections::{BTreeMap, HashMap};
use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::caller::Caller;
use crate::peers::{Digest, DigestEntry, Heartbeat, ListedInstance, PeerSettings, Phase, StartKey};

#[derive(Debug)]
struct Member {
    heartbeat: Heartbeat,
    heard_at: TimeMs,
}

/// The entry instances, as this one sees them.
#[derive(Debug)]
pub struct Members {
    settings: PeerSettings,
    own: ids::InstanceId,
    regions: HashMap<ids::AvailabilityZoneId, ids::RegionId>,
    members: BTreeMap<ids::InstanceId, Member>,
    /// Where the platform's list says that instances are.
    listed: BTreeMap<ids::InstanceId, ListedInstance>,
    is_listed: bool,
    /// Where instances may be found before the platform's list was read.
    seeds: Vec<net::SocketAddr>,
    /// When the own process last changed its phase.
    own_phase_at: Option<TimeMs>,
}

impl Members {
    /// Nobody is known but the instance itself.
    pub fn new(
        settings: PeerSettings,
        own: ids::InstanceId,
        regions: impl IntoIterator<Item = (ids::AvailabilityZoneId, ids::RegionId)>,
    ) -> Self {
        Self {
            settings,
            own,
            regions: regions.into_iter().collect(),
            members: BTreeMap::new(),
            listed: BTreeMap::new(),
            is_listed: false,
            seeds: Vec::new(),
            own_phase_at: None,
        }
    }

    /// Tells where instances may be found before the platform's list was read.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = net::SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
    }

    /// Takes in the platform's list of instances.
    pub fn set_listed(&mut self, listed: impl IntoIterator<Item = ListedInstance>) {
        self.listed = listed
            .into_iter()
            .map(|one| (one.instance.clone(), one))
            .collect();
        self.is_listed = true;
    }

    /// Whether others can know of this instance, or it of them, or both have taken too long.
    ///
    /// An instance that nobody knows hears of no change once the store turns it away: it would go on with
    /// routes and servers of before. So it is not ready before its record is written and the list is read,
    /// or it has heard from somebody. A store that serves reads and refuses the record keeps it from
    /// clients only until the time is over.
    #[must_use]
    pub fn is_acquainted(&self, now: TimeMs) -> bool {
        let has_heard = self.members.keys().any(|id| *id != self.own);
        self.is_listed || has_heard || now.get() >= self.settings.acquaintance_ms
    }

    /// Takes in a heartbeat; returns whether the instance is new, or back under a new start.
    pub fn note(&mut self, now: TimeMs, heartbeat: Heartbeat) -> bool {
        let Some(known) = self.members.get_mut(&heartbeat.instance) else {
            let member = Member {
                heartbeat: heartbeat.clone(),
                heard_at: now,
            };
            self.members.insert(heartbeat.instance, member);
            return true;
        };
        let is_same_start = known.heartbeat.incarnation == heartbeat.incarnation;
        let is_late = is_same_start && heartbeat.serial <= known.heartbeat.serial;
        // A datagram of an earlier start can arrive after the first of a new one.
        let is_outlived = heartbeat.incarnation < known.heartbeat.incarnation
            && now.since(known.heard_at).get() < self.settings.silence_ms;
        if is_late || is_outlived {
            return false;
        }
        if heartbeat.instance == self.own && known.heartbeat.phase != heartbeat.phase {
            self.own_phase_at = Some(now);
        }
        known.heartbeat = heartbeat;
        known.heard_at = now;
        !is_same_start
    }

    /// Takes in where the own process stands, which look-ups must know before its next heartbeat.
    pub fn set_own_phase(&mut self, now: TimeMs, phase: Phase) {
        if let Some(own) = self.members.get_mut(&self.own)
            && own.heartbeat.phase != phase
        {
            own.heartbeat.phase = phase;
            self.own_phase_at = Some(now);
        }
    }

    /// Takes in what another zone says of its instances.
    ///
    /// Only starts that were heard before are known by their keys; a start that is unknown tells of itself.
    pub fn note_digest(&mut self, now: TimeMs, digest: &Digest) {
        let entries: HashMap<StartKey, &DigestEntry> = digest
            .entries
            .iter()
            .map(|entry| (entry.key, entry))
            .collect();
        for member in self.members.values_mut() {
            let Some(entry) = entries.get(&StartKey::of(&member.heartbeat)) else {
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

    /// What the other zones are to hear of this one, if this instance speaks for it.
    #[must_use]
    pub fn digest(&self, now: TimeMs) -> Option<Digest> {
        if !self.is_speaker(now) {
            return None;
        }
        let entries = self.in_own_zone().map(|member| DigestEntry {
            key: StartKey::of(&member.heartbeat),
            serial: member.heartbeat.serial,
            phase: member.heartbeat.phase,
            age_ms: now.since(member.heard_at).get(),
        });
        let entries = entries
            .filter(|entry| entry.age_ms < self.settings.silence_ms)
            .collect();
        Some(Digest { entries })
    }

    /// Where digests go: the first instances of each other zone, which hand them on within it.
    ///
    /// Sent to all instances, the digests of 300 in 6 zones were most of the bytes between regions, and a
    /// speaker's share of them grew with the fleet.
    #[must_use]
    pub fn digest_recipients(&self, now: TimeMs) -> Vec<net::SocketAddr> {
        if !self.is_speaker(now) {
            return Vec::new();
        }
        let mut of_zone: BTreeMap<&ids::AvailabilityZoneId, usize> = BTreeMap::new();
        let own_zone = self.own_zone();
        let others = self
            .usable(now)
            .filter(|one| Some(&one.zone) != own_zone)
            .filter(|one| {
                let count = of_zone.entry(&one.zone).or_default();
                *count += 1;
                *count <= self.settings.digest_receivers_per_zone
            });
        others.map(|one| one.peer_address).collect()
    }

    /// Where this instance hands on a digest of another zone.
    #[must_use]
    pub fn digest_listeners(&self, now: TimeMs) -> Vec<net::SocketAddr> {
        if !self.is_speaker(now) {
            return Vec::new();
        }
        self.neighbours(now)
    }

    fn is_speaker(&self, now: TimeMs) -> bool {
        let limit = self.settings.speaker_silence_ms;
        let speakers = self.in_own_zone().filter(|member| {
            let is_own = member.heartbeat.instance == self.own;
            let is_heard = is_own || now.since(member.heard_at).get() < limit;
            is_heard && member.heartbeat.phase == Phase::Ready
        });
        speakers
            .take(self.settings.speakers_per_zone)
            .any(|member| member.heartbeat.instance == self.own)
    }

    fn in_own_zone(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| self.is_in_own_zone(member))
    }

    fn is_in_own_zone(&self, member: &Member) -> bool {
        self.own_zone() == Some(&member.heartbeat.zone)
    }

    fn own_zone(&self) -> Option<&ids::AvailabilityZoneId> {
        let own = self.members.get(&self.own);
        own.map(|own| &own.heartbeat.zone)
    }

    /// Where a heartbeat goes: to the own zone and to who was never heard, and to all around a change of
    /// the own phase and now and then. Other zones hear the rest from digests.
    ///
    /// Bytes of a calm day of 85 instances, heartbeats to all and then this: between regions 0.037 and
    /// 0.023 GB, between zones of a region 0.007 and 0.003 GB.
    #[must_use]
    pub fn recipients(&self, now: TimeMs, serial: u64) -> Vec<net::SocketAddr> {
        let is_to_all = self.is_to_all(now, serial);
        let greets = serial.is_multiple_of(self.settings.beats_between_greetings);
        let own_zone = self.own_zone();
        let unheard = self.listed.values().filter(|listed| {
            let is_near = listed.zone.is_none() || listed.zone.as_ref() == own_zone;
            let is_unheard = !self.members.contains_key(&listed.instance);
            is_unheard && (is_near || greets || is_to_all)
        });
        let heard = self.members.values().filter(|member| {
            let is_own = member.heartbeat.instance == self.own;
            !is_own && (is_to_all || self.is_in_own_zone(member))
        });
        unheard
            .filter(|listed| listed.instance != self.own)
            .map(|listed| listed.peer_address)
            .chain(heard.map(|member| member.heartbeat.peer_address))
            .chain(self.seeds_to_ask())
            .collect()
    }

    /// The seeds, as long as neither the list nor a ready instance is known.
    fn seeds_to_ask(&self) -> impl Iterator<Item = net::SocketAddr> {
        let knows_ready = self.members.values().any(|member| {
            member.heartbeat.instance != self.own && member.heartbeat.phase == Phase::Ready
        });
        let own = self.members.get(&self.own);
        let own_address = own.map(|own| own.heartbeat.peer_address);
        let is_asking = !self.is_listed && !knows_ready;
        let seeds = self.seeds.iter().copied().filter(move |_| is_asking);
        seeds.filter(move |seed| Some(*seed) != own_address)
    }

    /// The own heartbeat that answers one of another instance, if that one is looking for others.
    ///
    /// An instance that starts while the store doesn't answer it knows nobody. Without an answer it would wait
    /// for the next heartbeat to all: 4.2 s without service after a planned restart in an outage of the store.
    #[must_use]
    pub fn answer_to(&self, heartbeat: &Heartbeat) -> Option<&Heartbeat> {
        let own = self.members.get(&self.own).map(|own| &own.heartbeat)?;
        let is_useful = own.phase == Phase::Ready && heartbeat.phase == Phase::Starting;
        is_useful.then_some(own)
    }

    /// The other instances of the own zone that are at work.
    #[must_use]
    pub fn neighbours(&self, now: TimeMs) -> Vec<net::SocketAddr> {
        let own_zone = self.own_zone();
        let in_zone = self
            .usable(now)
            .filter(|one| Some(&one.zone) == own_zone && one.instance != self.own);
        in_zone.map(|one| one.peer_address).collect()
    }

    /// All other instances that were ever listed or heard, for what concerns everybody.
    #[must_use]
    pub fn others(&self) -> Vec<net::SocketAddr> {
        let heard = self.members.values().map(|member| &member.heartbeat);
        let heard = heard.map(|heartbeat| (&heartbeat.instance, heartbeat.peer_address));
        let listed = self.listed.values();
        let listed = listed.map(|listed| (&listed.instance, listed.peer_address));
        // What an instance says of itself is newer than the list.
        let addresses: BTreeMap<_, _> = listed.chain(heard).collect();
        let others = addresses.into_iter().filter(|(id, _)| **id != self.own);
        others.map(|(_, address)| address).collect()
    }

    fn is_to_all(&self, now: TimeMs, serial: u64) -> bool {
        let phase = self.members.get(&self.own).map(|own| own.heartbeat.phase);
        let told_ms = match phase {
            // Nobody sends clients there yet.
            Some(Phase::Starting) | None => 0,
            Some(Phase::Ready) => self.settings.ready_told_ms,
            // Whoever misses it goes on sending clients there.
            Some(Phase::Leaving) => self.settings.silence_ms,
        };
        let changed_lately = self
            .own_phase_at
            .is_some_and(|at| now.since(at).get() < told_ms);
        // One datagram a heartbeat on average, however large the fleet is.
        let fleet = u64::try_from(self.members.len()).unwrap_or(u64::MAX);
        let repairs = self.settings.beats_between_repairs.max(fleet);
        changed_lately || serial.is_multiple_of(repairs)
    }

    /// The most instances that may be at work: the divisor of every shared limit.
    ///
    /// Too small a divisor would break a limit, too large a one only wastes some of it, so instances that
    /// fell silent still count.
    #[must_use]
    pub fn most_at_work(&self) -> usize {
        if !self.is_listed {
            return self.settings.unknown_instances;
        }
        let heard = self
            .members
            .keys()
            .filter(|id| !self.listed.contains_key(*id) && **id != self.own)
            .count();
        let own = usize::from(!self.listed.contains_key(&self.own));
        self.listed.len() + heard + own
    }

    /// The instances that clients may use, with their zones.
    pub fn usable(&self, now: TimeMs) -> impl Iterator<Item = &Heartbeat> {
        self.alive(now, Phase::Ready)
    }

    /// The instances in a phase that are not silent.
    fn alive(&self, now: TimeMs, phase: Phase) -> impl Iterator<Item = &Heartbeat> {
        self.members
            .values()
            .filter(move |member| {
                member.heartbeat.phase == phase
                    && (member.heartbeat.instance == self.own
                        || now.since(member.heard_at).get() < self.silence_ms(member))
            })
            .map(|member| &member.heartbeat)
    }

    fn silence_ms(&self, member: &Member) -> u64 {
        if self.is_in_own_zone(member) {
            self.settings.silence_ms
        } else {
            self.settings.other_zone_silence_ms
        }
    }

    /// The instances of a zone that watch the store for it, with their addresses.
    ///
    /// Every instance computes them from the heartbeats that it hears. Two that disagree cost some calls:
    /// an instance whose source is stale watches the store itself. As long as nobody in the zone is ready,
    /// which lasts until the first configuration is written, instances that are starting do it for the others.
    #[must_use]
    pub fn relays(
        &self,
        now: TimeMs,
        zone: &ids::AvailabilityZoneId,
    ) -> Vec<(ids::InstanceId, net::SocketAddr)> {
        let relays_in = |phase: Phase| {
            self.alive(now, phase)
                .filter(|heartbeat| heartbeat.zone == *zone)
                .take(self.settings.relays_per_zone)
                .map(|heartbeat| (heartbeat.instance.clone(), heartbeat.peer_address))
                .collect::<Vec<_>>()
        };
        let ready = relays_in(Phase::Ready);
        if ready.is_empty() {
            return relays_in(Phase::Starting);
        }
        ready
    }

    /// The client addresses for a caller: of its own zone, or else of its region, or else of the regions
    /// that may serve it, or else all.
    #[must_use]
    pub fn look_up(
        &self,
        now: TimeMs,
        zone: Option<&ids::AvailabilityZoneId>,
        region: Option<&ids::RegionId>,
        allowed_regions: &[ids::RegionId],
    ) -> Vec<net::SocketAddr> {
        let usable: Vec<&Heartbeat> = self.usable(now).collect();
        let caller = Caller {
            zone,
            region,
            allowed_regions,
        };
        caller.nearest(&usable, &self.regions)
    }
}
