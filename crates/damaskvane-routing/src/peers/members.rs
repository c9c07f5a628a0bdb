//! The entry instances of all zones that this instance knows, and which of them receive its messages.
//! An incarnation is one start of an instance. An aggregator sends its zone's digest, the list of live instances.

mod usable;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::heartbeat_targets::HeartbeatTargets;
use crate::peers::instance_list::InstanceList;
use crate::peers::member_table::MemberTable;
use crate::peers::relay;
use crate::peers::{Digest, Heartbeat, ListedInstance, PeerSettings, Phase, Relay};

/// The entry instances of all zones, as this instance learned of them from heartbeats, digests and the platform's list.
#[derive(Debug)]
pub struct Members {
    settings: PeerSettings,
    own: ids::InstanceId,
    regions: HashMap<ids::AvailabilityZoneId, ids::RegionId>,
    members: MemberTable,
    list: InstanceList,
    zones_at: HashMap<net::IpAddr, ids::AvailabilityZoneId>,
    /// Members of this zone that changed and whose heartbeat was not sent to other zones since the change.
    updates: BTreeSet<ids::InstanceId>,
    /// Whether the record of this instance is in the store.
    is_registered: bool,
    targets: HeartbeatTargets,
}

impl Members {
    /// Returns a view that holds only this instance. `regions` maps each availability zone to its region.
    pub fn new(
        settings: PeerSettings,
        own: ids::InstanceId,
        regions: impl IntoIterator<Item = (ids::AvailabilityZoneId, ids::RegionId)>,
    ) -> Self {
        let mut list = InstanceList::default();
        list.record_heartbeat(&own);
        Self {
            settings,
            regions: regions.into_iter().collect(),
            members: MemberTable::new(settings, own.clone()),
            own,
            list,
            zones_at: HashMap::new(),
            updates: BTreeSet::new(),
            is_registered: false,
            targets: HeartbeatTargets::new(settings),
        }
    }

    /// Sets the addresses at which other instances may be reached before the platform's list has been read.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = net::SocketAddr>) {
        self.targets.set_seeds(seeds);
    }

    /// Replaces the platform's list of instances.
    pub fn set_listed(&mut self, listed: impl IntoIterator<Item = ListedInstance>) {
        let received = self.members.instances().cloned();
        self.list.clear(received.chain([self.own.clone()]));
        self.add_listed(listed);
    }

    /// Adds instances to the platform's list.
    pub fn add_listed(&mut self, listed: impl IntoIterator<Item = ListedInstance>) {
        for one in listed {
            if let Some(zone) = &one.zone {
                self.zones_at.insert(one.peer_address.ip(), zone.clone());
            }
            let has_heartbeat = self.has_heartbeat(&one.instance);
            self.list.add(one, has_heartbeat);
        }
    }

    /// Removes an instance from the platform's list.
    pub fn remove_listed(&mut self, instance: &ids::InstanceId) {
        let has_heartbeat = self.has_heartbeat(instance);
        self.list.remove(instance, has_heartbeat);
    }

    fn has_heartbeat(&self, instance: &ids::InstanceId) -> bool {
        *instance == self.own || self.members.contains(instance)
    }

    /// Returns the zone of the instance at an address, or `None` if no instance is known at this address.
    #[must_use]
    pub fn zone_at(&self, address: net::IpAddr) -> Option<&ids::AvailabilityZoneId> {
        self.zones_at.get(&address)
    }

    /// Returns all instances of the platform's list.
    pub fn listed(&self) -> impl Iterator<Item = &ListedInstance> {
        self.list.listed()
    }

    /// Returns whether the platform's list holds exactly this record for the record's instance.
    #[must_use]
    pub fn is_listed_as(&self, record: &ListedInstance) -> bool {
        self.list.is_listed_as(record)
    }

    /// Returns whether this instance is the first of its zone in the platform's list.
    #[must_use]
    pub fn is_first_listed(&self) -> bool {
        let own_zone = self.members.own_zone();
        let listed = self.list.listed();
        let mut of_zone = listed.filter(|listed| listed.zone.as_ref() == own_zone);
        of_zone
            .next()
            .is_some_and(|first| first.instance == self.own)
    }

    /// Returns whether the first instance of this instance's zone watches the store for the region.
    #[must_use]
    pub fn is_in_watcher_zone(&self) -> bool {
        let own = self.members.own_zone();
        let first = own.map(|own| relay::zones_before(&self.regions, own));
        first.is_some_and(|before| before < self.settings.watchers_per_region)
    }

    /// Sends the next heartbeat to other zones too, so that instances that start at the same time find each other.
    pub const fn announce_to_other_zones(&mut self) {
        self.targets.announce_to_other_zones();
    }

    /// Records that the record of this instance is in the store.
    pub const fn set_registered(&mut self) {
        self.is_registered = true;
    }

    /// Returns whether this instance has joined the other instances, or the time limit for joining has passed.
    ///
    /// An instance that is unknown to all others receives no changes if the store rejects it, and would use outdated
    /// routes and servers. It is ready only after its record is written and the list is read, or after a heartbeat of
    /// another instance. The timeout limits the delay if the store serves reads but rejects the record.
    #[must_use]
    pub fn has_joined(&self, now: TimeMs) -> bool {
        let own = usize::from(self.members.contains(&self.own));
        let has_peer = self.members.len() > own;
        let has_record_and_list = self.list.is_complete() && self.is_registered;
        has_record_and_list || has_peer || now.get() >= self.settings.join_timeout_ms
    }

    /// Applies a heartbeat unless it is outdated. Returns whether the instance is new or has a new incarnation.
    pub fn apply_heartbeat(&mut self, now: TimeMs, heartbeat: Heartbeat) -> bool {
        let Some(known) = self.members.get_mut(&heartbeat.instance) else {
            self.add(now, heartbeat);
            return true;
        };
        let is_same_incarnation = known.heartbeat.incarnation == heartbeat.incarnation;
        let is_late = is_same_incarnation && heartbeat.serial <= known.heartbeat.serial;
        // A datagram of an earlier incarnation can arrive after the first datagram of a new incarnation.
        let is_superseded = heartbeat.incarnation < known.heartbeat.incarnation
            && now.since(known.received_at).get() < self.settings.heartbeat_timeout_ms;
        if is_late || is_superseded {
            return false;
        }
        if is_same_incarnation {
            let has_changed = known.heartbeat.phase != heartbeat.phase;
            if has_changed && heartbeat.instance == self.own {
                self.targets.record_own_phase_change(now);
            }
            known.heartbeat = heartbeat;
            known.received_at = now;
            if has_changed {
                let instance = known.heartbeat.instance.clone();
                self.record_update(&instance);
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
        self.list.record_heartbeat(&instance);
        self.members.add(now, heartbeat);
        self.record_update(&instance);
    }

    fn record_update(&mut self, instance: &ids::InstanceId) {
        let member = self.members.get(instance);
        if member.is_some_and(|member| self.members.is_in_own_zone(member)) {
            self.updates.insert(instance.clone());
        }
    }

    /// Removes and returns up to `max_updates` membership updates: heartbeats of this zone's new or changed members.
    ///
    /// Returns updates only on an aggregator. If every instance sent its own updates to all instances of all zones, the
    /// start of hundreds of instances at once would cause most of the traffic between zones.
    pub fn take_membership_updates(&mut self, now: TimeMs, max_updates: usize) -> Vec<Heartbeat> {
        if !self.is_aggregator(now) {
            // The aggregators send these updates. If this instance becomes one later, sending them again is harmless.
            return Vec::new();
        }
        let instances: Vec<_> = self.updates.iter().take(max_updates).cloned().collect();
        for instance in &instances {
            self.updates.remove(instance);
        }
        let members = instances.iter().filter_map(|id| self.members.get(id));
        members.map(|member| member.heartbeat.clone()).collect()
    }

    /// Returns the heartbeats of all ready instances of other zones, for a new instance of this instance's zone.
    ///
    /// Returns heartbeats only on an aggregator. No other message informs a new instance of unchanged instances.
    #[must_use]
    pub fn heartbeats_for_new_instance(
        &self,
        now: TimeMs,
        heartbeat: &Heartbeat,
    ) -> Vec<Heartbeat> {
        let is_own_zone = self.members.own_zone() == Some(&heartbeat.zone);
        if !is_own_zone || heartbeat.instance == self.own || !self.is_aggregator(now) {
            return Vec::new();
        }
        let zones = self.members.zones().filter(|zone| **zone != heartbeat.zone);
        let ready = zones.flat_map(|zone| self.members.accepting_in(now, zone));
        ready.cloned().collect()
    }

    /// Sets the phase of this instance at once, because lookups must use the new phase before the next heartbeat.
    pub fn set_own_phase(&mut self, now: TimeMs, phase: Phase) {
        if let Some(own) = self.members.get_mut(&self.own)
            && own.heartbeat.phase != phase
        {
            own.heartbeat.phase = phase;
            self.targets.record_own_phase_change(now);
            self.updates.insert(self.own.clone());
        }
    }

    /// Applies the digest of another zone.
    ///
    /// An entry is ignored until a heartbeat or membership update of its incarnation was received.
    pub fn apply_digest(&mut self, now: TimeMs, digest: &Digest) {
        self.members.apply_digest(now, digest);
    }

    /// Returns this zone's digest to send to other zones, or `None` if this instance isn't an aggregator.
    #[must_use]
    pub fn digest(&self, now: TimeMs) -> Option<Digest> {
        self.is_aggregator(now).then(|| self.members.digest(now))
    }

    /// Returns the addresses to which this aggregator sends digests: the first ready instances of each other zone.
    ///
    /// The recipients forward the digests within their zone. Digests to all instances would be most of the traffic
    /// between regions of a large fleet, and the traffic of each aggregator would grow with the number of instances.
    #[must_use]
    pub fn digest_recipients(&self, now: TimeMs) -> Vec<net::SocketAddr> {
        if !self.is_aggregator(now) {
            return Vec::new();
        }
        let own_zone = self.members.own_zone();
        let others = self.members.zones().filter(|zone| Some(*zone) != own_zone);
        let max = self.settings.digest_receivers_per_zone;
        let receivers = others.flat_map(|zone| self.members.accepting_in(now, zone).take(max));
        receivers.map(|one| one.peer_address).collect()
    }

    /// Returns the ready instances of this zone to which an aggregator forwards a digest of another zone.
    #[must_use]
    pub fn digest_forward_recipients(&self, now: TimeMs) -> Vec<net::SocketAddr> {
        if !self.is_aggregator(now) {
            return Vec::new();
        }
        self.neighbours(now)
    }

    /// Returns whether this instance is an aggregator of its zone.
    #[must_use]
    pub fn is_aggregator(&self, now: TimeMs) -> bool {
        self.members.is_aggregator(now)
    }

    /// Returns the peer addresses of the other aggregators of this instance's zone.
    #[must_use]
    pub fn other_aggregators(&self, now: TimeMs) -> Vec<net::SocketAddr> {
        let aggregators = self.members.aggregators(now);
        let others = aggregators.filter(|member| member.heartbeat.instance != self.own);
        others.map(|member| member.heartbeat.peer_address).collect()
    }

    /// Returns the recipients of the heartbeat with this serial number: this zone's instances, and periodically all
    /// instances or those listed in other zones that sent none. Otherwise aggregators inform other zones.
    #[must_use]
    pub fn recipients(&mut self, now: TimeMs, serial: u64) -> Vec<net::SocketAddr> {
        self.targets
            .recipients(&self.members, &self.list, now, serial)
    }

    /// Returns this instance's heartbeat as the reply to a starting instance, or `None` if no reply is needed.
    ///
    /// An instance that starts while the store doesn't answer has only the seed addresses. Without a reply it would
    /// accept no clients until the next heartbeat that is sent to all instances.
    #[must_use]
    pub fn reply_to_heartbeat(&self, heartbeat: &Heartbeat) -> Option<&Heartbeat> {
        let own = self.members.own_member().map(|own| &own.heartbeat)?;
        let is_useful = own.phase.accepts_clients() && heartbeat.phase.is_starting();
        is_useful.then_some(own)
    }

    /// Returns the peer addresses of the other ready instances of this instance's zone.
    #[must_use]
    pub fn neighbours(&self, now: TimeMs) -> Vec<net::SocketAddr> {
        let Some(zone) = self.members.own_zone() else {
            return Vec::new();
        };
        let in_zone = self.members.accepting_in(now, zone);
        let others = in_zone.filter(|one| one.instance != self.own);
        others.map(|one| one.peer_address).collect()
    }

    /// Returns the peer addresses of all other instances that are listed or have ever sent a heartbeat.
    #[must_use]
    pub fn others(&self) -> Vec<net::SocketAddr> {
        let heartbeats = self.members.members().map(|member| &member.heartbeat);
        let heartbeats = heartbeats.map(|heartbeat| (&heartbeat.instance, heartbeat.peer_address));
        let listed = self.list.listed();
        let listed = listed.map(|listed| (&listed.instance, listed.peer_address));
        // The address in a heartbeat is newer than the address in the list.
        let addresses: BTreeMap<_, _> = listed.chain(heartbeats).collect();
        let others = addresses.into_iter().filter(|(id, _)| **id != self.own);
        others.map(|(_, address)| address).collect()
    }

    /// Returns the maximum number of instances that may be running, by which every shared limit is divided.
    ///
    /// A divisor that is too small would exceed the limit, while one that is too large only leaves part of the limit
    /// unused. Instances without recent heartbeats therefore still count.
    #[must_use]
    pub fn max_running_instances(&self) -> usize {
        let known = self.list.known();
        if self.list.is_complete() {
            known
        } else {
            known.max(self.settings.assumed_instances)
        }
    }

    /// Returns the instances of a zone that forward changes of the store to the zone's other instances.
    ///
    /// Every instance computes the relays from the heartbeats that it received. If two instances disagree, the cost is
    /// some calls of the store: an instance whose source is stale watches the store itself. While no instance of the
    /// zone is ready, as before the first configuration is written, starting instances are the relays.
    #[must_use]
    pub fn relays(&self, now: TimeMs, zone: &ids::AvailabilityZoneId) -> Vec<Relay> {
        relay::of_zone(&self.members, now, zone, self.settings.relays_per_zone)
    }

    /// Returns the instances that watch the store for a region: the first instance of each of its first zones.
    ///
    /// The watchers are in different zones, so one remains if a zone fails. Every instance computes them from the
    /// received heartbeats and digests; if two instances disagree, the cost is some calls of the store.
    #[must_use]
    pub fn watchers(&self, now: TimeMs, region: &ids::RegionId) -> Vec<Relay> {
        let zones = self.members.zones();
        let of_region = zones.filter(|zone| self.regions.get(*zone) == Some(region));
        relay::of_first_zones(
            &self.members,
            now,
            of_region,
            self.settings.watchers_per_region,
        )
    }
}
