//! The instances that are known, with the last word from each.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::caller::Caller;
use crate::peers::listing::Listing;
use crate::peers::outreach::Outreach;
use crate::peers::relay;
use crate::peers::roster::Roster;
use crate::peers::{Digest, Heartbeat, ListedInstance, PeerSettings, Phase, Relay};

/// The entry instances, as this one sees them.
#[derive(Debug)]
pub struct Members {
    settings: PeerSettings,
    own: ids::InstanceId,
    regions: HashMap<ids::AvailabilityZoneId, ids::RegionId>,
    roster: Roster,
    listing: Listing,
    zones_at: HashMap<net::IpAddr, ids::AvailabilityZoneId>,
    /// Members of the own zone that other zones haven't been told of since they changed.
    news: BTreeSet<ids::InstanceId>,
    /// Whether the own record is in the store.
    is_registered: bool,
    outreach: Outreach,
}

impl Members {
    /// Nobody is known but the instance itself.
    pub fn new(
        settings: PeerSettings,
        own: ids::InstanceId,
        regions: impl IntoIterator<Item = (ids::AvailabilityZoneId, ids::RegionId)>,
    ) -> Self {
        let mut listing = Listing::default();
        listing.note_heard(&own);
        Self {
            settings,
            regions: regions.into_iter().collect(),
            roster: Roster::new(settings, own.clone()),
            own,
            listing,
            zones_at: HashMap::new(),
            news: BTreeSet::new(),
            is_registered: false,
            outreach: Outreach::new(settings),
        }
    }

    /// Tells where instances may be found before the platform's list was read.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = net::SocketAddr>) {
        self.outreach.set_seeds(seeds);
    }

    /// Takes in the platform's list of instances.
    pub fn set_listed(&mut self, listed: impl IntoIterator<Item = ListedInstance>) {
        let heard = self.roster.instances().cloned();
        self.listing.clear(heard.chain([self.own.clone()]));
        self.add_listed(listed);
    }

    /// Takes in some instances of the platform's list.
    pub fn add_listed(&mut self, listed: impl IntoIterator<Item = ListedInstance>) {
        for one in listed {
            if let Some(zone) = &one.zone {
                self.zones_at.insert(one.peer_address.ip(), zone.clone());
            }
            let is_heard = self.is_heard(&one.instance);
            self.listing.add(one, is_heard);
        }
    }

    /// Takes in that the platform's list no longer names an instance.
    pub fn remove_listed(&mut self, instance: &ids::InstanceId) {
        let is_heard = self.is_heard(instance);
        self.listing.remove(instance, is_heard);
    }

    fn is_heard(&self, instance: &ids::InstanceId) -> bool {
        *instance == self.own || self.roster.contains(instance)
    }

    /// The zone of the instance at an address.
    #[must_use]
    pub fn zone_at(&self, address: net::IpAddr) -> Option<&ids::AvailabilityZoneId> {
        self.zones_at.get(&address)
    }

    /// Whether the platform's list names the instance itself with this record.
    #[must_use]
    pub fn is_listed_as(&self, record: &ListedInstance) -> bool {
        self.listing.get(&record.instance) == Some(record)
    }

    /// Whether the instance is the first of its zone that the platform's list names.
    #[must_use]
    pub fn is_first_listed(&self) -> bool {
        let own_zone = self.roster.own_zone();
        let listed = self.listing.listed();
        let mut of_zone = listed.filter(|listed| listed.zone.as_ref() == own_zone);
        of_zone
            .next()
            .is_some_and(|first| first.instance == self.own)
    }

    /// Whether the own zone is one of those whose first instance watches the store for the region.
    #[must_use]
    pub fn is_in_watcher_zone(&self) -> bool {
        let Some(own) = self.roster.own_zone() else {
            return false;
        };
        let region = self.regions.get(own);
        let before = self
            .regions
            .iter()
            .filter(|(zone, of)| Some(*of) == region && *zone < own);
        before.count() < self.settings.watchers_per_region
    }

    /// Lets the next heartbeat go to the first listed instances of other zones: those that start together with this
    /// one hear of each other by it.
    pub const fn announce_to_other_zones(&mut self) {
        self.outreach.announce_to_other_zones();
    }

    /// Takes in that the own record is in the store.
    pub const fn set_registered(&mut self) {
        self.is_registered = true;
    }

    /// Whether others can know of this instance, or it of them, or both have taken too long.
    ///
    /// An instance that nobody knows hears of no change once the store turns it away: it would go on with
    /// routes and servers of before. So it is not ready before its record is written and the list is read,
    /// or it has heard from somebody. A store that serves reads and refuses the record keeps it from
    /// clients only until the time is over.
    #[must_use]
    pub fn has_joined(&self, now: TimeMs) -> bool {
        let own = usize::from(self.roster.contains(&self.own));
        let has_heard = self.roster.len() > own;
        let is_known = self.listing.is_whole() && self.is_registered;
        is_known || has_heard || now.get() >= self.settings.join_timeout_ms
    }

    /// Takes in a heartbeat; returns whether the instance is new, or back under a new start.
    pub fn apply_heartbeat(&mut self, now: TimeMs, heartbeat: Heartbeat) -> bool {
        let Some(known) = self.roster.get_mut(&heartbeat.instance) else {
            self.add(now, heartbeat);
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
        if is_same_start {
            let has_changed = known.heartbeat.phase != heartbeat.phase;
            if has_changed && heartbeat.instance == self.own {
                self.outreach.note_own_phase(now);
            }
            known.heartbeat = heartbeat;
            known.heard_at = now;
            if has_changed {
                let instance = known.heartbeat.instance.clone();
                self.note_news(&instance);
            }
            return false;
        }
        self.add(now, heartbeat);
        true
    }

    fn add(&mut self, now: TimeMs, heartbeat: Heartbeat) {
        let instance = heartbeat.instance.clone();
        let address = heartbeat.peer_address.ip();
        self.zones_at.insert(address, heartbeat.zone.clone());
        self.listing.note_heard(&instance);
        self.roster.add(now, heartbeat);
        self.note_news(&instance);
    }

    fn note_news(&mut self, instance: &ids::InstanceId) {
        let member = self.roster.get(instance);
        if member.is_some_and(|member| self.roster.is_in_own_zone(member)) {
            self.news.insert(instance.clone());
        }
    }

    /// What other zones are to hear in full: members of the own zone that are new or changed their phase.
    ///
    /// Were each instance to tell all instances of all zones itself, starts of hundreds at once would be most of the
    /// bytes between zones.
    pub fn take_membership_updates(&mut self, now: TimeMs, most: usize) -> Vec<Heartbeat> {
        if !self.is_aggregator(now) {
            // Whoever speaks tells it. What is left here is told again if this one speaks later, and harms nobody.
            return Vec::new();
        }
        let told: Vec<_> = self.news.iter().take(most).cloned().collect();
        for instance in &told {
            self.news.remove(instance);
        }
        let members = told.iter().filter_map(|id| self.roster.get(id));
        members.map(|member| member.heartbeat.clone()).collect()
    }

    /// What an instance of the own zone that has just started is to hear of other zones, from one that speaks for
    /// its own: nobody else tells it of instances that neither start nor change.
    #[must_use]
    pub fn heartbeats_for_new_instance(
        &self,
        now: TimeMs,
        heartbeat: &Heartbeat,
    ) -> Vec<Heartbeat> {
        let is_near = self.roster.own_zone() == Some(&heartbeat.zone);
        if !is_near || heartbeat.instance == self.own || !self.is_aggregator(now) {
            return Vec::new();
        }
        let zones = self.roster.zones().filter(|zone| **zone != heartbeat.zone);
        let ready = zones.flat_map(|zone| self.roster.alive_in(now, zone, Phase::Ready));
        ready.cloned().collect()
    }

    /// Takes in where the own process stands, which look-ups must know before its next heartbeat.
    pub fn set_own_phase(&mut self, now: TimeMs, phase: Phase) {
        if let Some(own) = self.roster.get_mut(&self.own)
            && own.heartbeat.phase != phase
        {
            own.heartbeat.phase = phase;
            self.outreach.note_own_phase(now);
            self.news.insert(self.own.clone());
        }
    }

    /// Takes in what another zone says of its instances.
    ///
    /// Only starts that were heard before are known by their keys; a start that is unknown tells of itself.
    pub fn apply_digest(&mut self, now: TimeMs, digest: &Digest) {
        self.roster.apply_digest(now, digest);
    }

    /// What the other zones are to hear of this one, if this instance speaks for it.
    #[must_use]
    pub fn digest(&self, now: TimeMs) -> Option<Digest> {
        self.is_aggregator(now).then(|| self.roster.digest(now))
    }

    /// Where digests go: the first instances of each other zone, which hand them on within it.
    ///
    /// Sent to all instances, digests would be most of the bytes between the regions of a large fleet, and a
    /// speaker's share of them would grow with it.
    #[must_use]
    pub fn digest_recipients(&self, now: TimeMs) -> Vec<net::SocketAddr> {
        if !self.is_aggregator(now) {
            return Vec::new();
        }
        let own_zone = self.roster.own_zone();
        let others = self.roster.zones().filter(|zone| Some(*zone) != own_zone);
        let most = self.settings.digest_receivers_per_zone;
        let receivers =
            others.flat_map(|zone| self.roster.alive_in(now, zone, Phase::Ready).take(most));
        receivers.map(|one| one.peer_address).collect()
    }

    /// Where this instance hands on a digest of another zone.
    #[must_use]
    pub fn digest_forward_recipients(&self, now: TimeMs) -> Vec<net::SocketAddr> {
        if !self.is_aggregator(now) {
            return Vec::new();
        }
        self.neighbours(now)
    }

    /// Whether this instance speaks for its zone.
    #[must_use]
    pub fn is_aggregator(&self, now: TimeMs) -> bool {
        self.roster.is_aggregator(now)
    }

    /// Where the instances are that speak for the own zone, but for this one.
    #[must_use]
    pub fn other_aggregators(&self, now: TimeMs) -> Vec<net::SocketAddr> {
        let speaking = self.roster.speaking(now);
        let others = speaking.filter(|member| member.heartbeat.instance != self.own);
        others.map(|member| member.heartbeat.peer_address).collect()
    }

    /// Where a heartbeat goes: to the own zone, to the first instances of other zones that were never heard, and
    /// now and then to all. Other zones hear the rest from those that speak for this one.
    #[must_use]
    pub fn recipients(&mut self, now: TimeMs, serial: u64) -> Vec<net::SocketAddr> {
        self.outreach
            .recipients(&self.roster, &self.listing, now, serial)
    }

    /// The own heartbeat that answers one of another instance, if that one is looking for others.
    ///
    /// An instance that starts while the store doesn't answer it knows nobody. Without an answer it would wait
    /// for the next heartbeat to all, and serve nobody until then.
    #[must_use]
    pub fn reply_to_heartbeat(&self, heartbeat: &Heartbeat) -> Option<&Heartbeat> {
        let own = self.roster.own_member().map(|own| &own.heartbeat)?;
        let is_useful = own.phase == Phase::Ready && heartbeat.phase == Phase::Starting;
        is_useful.then_some(own)
    }

    /// The other instances of the own zone that are at work.
    #[must_use]
    pub fn neighbours(&self, now: TimeMs) -> Vec<net::SocketAddr> {
        let Some(zone) = self.roster.own_zone() else {
            return Vec::new();
        };
        let in_zone = self.roster.alive_in(now, zone, Phase::Ready);
        let others = in_zone.filter(|one| one.instance != self.own);
        others.map(|one| one.peer_address).collect()
    }

    /// All other instances that were ever listed or heard, for what concerns everybody.
    #[must_use]
    pub fn others(&self) -> Vec<net::SocketAddr> {
        let heard = self.roster.members().map(|member| &member.heartbeat);
        let heard = heard.map(|heartbeat| (&heartbeat.instance, heartbeat.peer_address));
        let listed = self.listing.listed();
        let listed = listed.map(|listed| (&listed.instance, listed.peer_address));
        // What an instance says of itself is newer than the list.
        let addresses: BTreeMap<_, _> = listed.chain(heard).collect();
        let others = addresses.into_iter().filter(|(id, _)| **id != self.own);
        others.map(|(_, address)| address).collect()
    }

    /// The most instances that may be at work: the divisor of every shared limit.
    ///
    /// Too small a divisor would break a limit, too large a one only wastes some of it, so instances that
    /// fell silent still count.
    #[must_use]
    pub fn max_running_instances(&self) -> usize {
        let known = self.listing.known();
        if self.listing.is_whole() {
            known
        } else {
            known.max(self.settings.assumed_instances)
        }
    }

    /// The instances that clients may use, with their zones.
    pub fn usable(&self, now: TimeMs) -> impl Iterator<Item = &Heartbeat> {
        let zones = self.roster.zones();
        zones.flat_map(move |zone| self.roster.alive_in(now, zone, Phase::Ready))
    }

    /// The instances of a zone that hand changes on to the others.
    ///
    /// Every instance computes them from the heartbeats that it hears. Two that disagree cost some calls:
    /// an instance whose source is stale watches the store itself. As long as nobody in the zone is ready,
    /// which lasts until the first configuration is written, instances that are starting do it for the others.
    #[must_use]
    pub fn relays(&self, now: TimeMs, zone: &ids::AvailabilityZoneId) -> Vec<Relay> {
        relay::of_zone(&self.roster, now, zone, self.settings.relays_per_zone)
    }

    /// The instances of a region that watch the store for it: the first one of some of its zones.
    ///
    /// In zones apart, so that the loss of one leaves another. Every instance computes them from the heartbeats and
    /// digests that it hears; two that disagree cost some calls.
    #[must_use]
    pub fn watchers(&self, now: TimeMs, region: &ids::RegionId) -> Vec<Relay> {
        let zones = self.roster.zones();
        let of_region = zones.filter(|zone| self.regions.get(*zone) == Some(region));
        relay::of_first_zones(
            &self.roster,
            now,
            of_region,
            self.settings.watchers_per_region,
        )
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
        let caller = Caller {
            zone,
            region,
            allowed_regions,
        };
        caller.nearest(&self.roster, &self.regions, now)
    }
}
