//! The instances that are known, with the last word from each.

use std::collections::{BTreeMap, HashMap};
use std::net;

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;

use crate::peers::{Heartbeat, Phase};

/// Periods of heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerSettings {
    /// The pause between two heartbeats.
    pub heartbeat_ms: u64,
    /// The silence after which an instance is no longer named: three heartbeats, so that one lost datagram
    /// and a late one do no harm.
    pub silence_ms: u64,
    /// Instances to reckon with before the platform's list was read.
    pub unknown_instances: usize,
    /// Instances of a zone that watch the store: the second one serves when the first is lost.
    pub relays_per_zone: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 800,
            silence_ms: 2_600,
            unknown_instances: 16,
            relays_per_zone: 2,
        }
    }
}

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
    listed: BTreeMap<ids::InstanceId, net::SocketAddr>,
    is_listed: bool,
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
        }
    }

    /// Takes in the platform's list of instances.
    pub fn set_listed(
        &mut self,
        listed: impl IntoIterator<Item = (ids::InstanceId, net::SocketAddr)>,
    ) {
        self.listed = listed.into_iter().collect();
        self.is_listed = true;
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
        known.heartbeat = heartbeat;
        known.heard_at = now;
        !is_same_start
    }

    /// Takes in where the own process stands, which look-ups must know before its next heartbeat.
    pub fn set_own_phase(&mut self, phase: Phase) {
        if let Some(own) = self.members.get_mut(&self.own) {
            own.heartbeat.phase = phase;
        }
    }

    /// Where heartbeats go: everybody listed or heard of, but for this instance.
    #[must_use]
    pub fn recipients(&self) -> Vec<net::SocketAddr> {
        let mut addresses = self.listed.clone();
        for (id, member) in &self.members {
            addresses.insert(id.clone(), member.heartbeat.peer_address);
        }
        addresses.remove(&self.own);
        addresses.into_values().collect()
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
        self.members
            .values()
            .filter(move |member| {
                member.heartbeat.phase == Phase::Ready
                    && (member.heartbeat.instance == self.own
                        || now.since(member.heard_at).get() < self.settings.silence_ms)
            })
            .map(|member| &member.heartbeat)
    }

    /// The instances of a zone that watch the store for it, with their addresses.
    ///
    /// Every instance computes them from the heartbeats that it hears. Two that disagree cost some calls:
    /// an instance whose source is stale watches the store itself.
    #[must_use]
    pub fn relays(
        &self,
        now: TimeMs,
        zone: &ids::AvailabilityZoneId,
    ) -> Vec<(ids::InstanceId, net::SocketAddr)> {
        let in_zone = self.usable(now).filter(|heartbeat| heartbeat.zone == *zone);
        in_zone
            .take(self.settings.relays_per_zone)
            .map(|heartbeat| (heartbeat.instance.clone(), heartbeat.peer_address))
            .collect()
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
        let in_zone = |h: &Heartbeat| Some(&h.zone) == zone;
        let in_region = |h: &Heartbeat| region.is_some() && self.regions.get(&h.zone) == region;
        let is_allowed = |h: &Heartbeat| {
            let region = self.regions.get(&h.zone);
            region.is_some_and(|region| allowed_regions.contains(region))
        };
        let tiers: [&dyn Fn(&Heartbeat) -> bool; 4] =
            [&in_zone, &in_region, &is_allowed, &|_| true];
        for tier in tiers {
            let addresses: Vec<_> = self
                .usable(now)
                .filter(|heartbeat| tier(heartbeat))
                .map(|heartbeat| heartbeat.client_address)
                .collect();
            if !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }
}
