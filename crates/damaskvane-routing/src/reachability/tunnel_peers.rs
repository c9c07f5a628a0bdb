//! Chooses the instance that carries a connection to a server which this instance does not reach.

use std::collections::BTreeMap;

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::configuration::RegionSet;
use crate::peers::Heartbeat;
use crate::pool::ServerKey;
use crate::reachability::ReachabilitySettings;

/// What a tunnel is needed for.
#[derive(Debug, Clone, Copy)]
pub struct TunnelWish<'a> {
    /// Availability zone of this instance.
    pub own_zone: &'a ids::AvailabilityZoneId,
    /// Region of this instance.
    pub own_region: &'a ids::RegionId,
    /// Availability zone of the server.
    pub server_zone: &'a ids::AvailabilityZoneId,
    /// Regions through which the bytes may pass.
    pub allowed_regions: &'a RegionSet,
    /// Instances that were asked for this tunnel already.
    pub tried: &'a [ids::InstanceId],
    /// Random number between 0 and 1 that spreads tunnels over the instances.
    pub spread: f64,
}

impl TunnelWish<'_> {
    /// Returns how far a tunnel through an instance is from the shortest way; 0 is best.
    fn distance(&self, zone: &ids::AvailabilityZoneId, region: Option<&ids::RegionId>) -> u8 {
        if zone == self.own_zone {
            0
        } else if zone == self.server_zone {
            1
        } else if region == Some(self.own_region) {
            2
        } else {
            3
        }
    }
}

/// The instances that lately could not carry a tunnel.
#[derive(Debug)]
pub struct TunnelPeers {
    settings: ReachabilitySettings,
    failed_until: BTreeMap<ids::InstanceId, TimeMs>,
    /// Until when servers want no request from instances that carry tunnels to them.
    rests_until: BTreeMap<(ids::InstanceId, ServerKey), TimeMs>,
}

impl TunnelPeers {
    /// Creates the state of an instance that has opened no tunnel yet.
    #[must_use]
    pub const fn new(settings: ReachabilitySettings) -> Self {
        Self {
            settings,
            failed_until: BTreeMap::new(),
            rests_until: BTreeMap::new(),
        }
    }

    /// Records that an instance could not carry a tunnel, so that others are asked for a while.
    pub fn record_failed(&mut self, now: TimeMs, peer: &ids::InstanceId) {
        self.failed_until.retain(|_, until| now < *until);
        let until = now + SpanMs::new(self.settings.peer_backoff_ms);
        self.failed_until.insert(peer.clone(), until);
    }

    /// Returns whether an instance has lately failed to carry a tunnel.
    #[must_use]
    pub fn has_failed(&self, now: TimeMs, peer: &ids::InstanceId) -> bool {
        self.failed_until
            .get(peer)
            .is_some_and(|until| now < *until)
    }

    /// Records that a server wants no request from another instance, also none that the instance carries.
    pub fn record_rest(
        &mut self,
        now: TimeMs,
        peer: &ids::InstanceId,
        server: ServerKey,
        remaining: SpanMs,
    ) {
        self.rests_until.retain(|_, until| now < *until);
        let until = self.rests_until.entry((peer.clone(), server));
        let until = until.or_insert(TimeMs::ZERO);
        *until = (*until).max(now + remaining);
    }

    /// Returns whether a server wants no request that another instance carries.
    #[must_use]
    pub fn rests(&self, now: TimeMs, peer: &ids::InstanceId, server: ServerKey) -> bool {
        if self.rests_until.is_empty() {
            return false;
        }
        let until = self.rests_until.get(&(peer.clone(), server));
        until.is_some_and(|until| now < *until)
    }

    /// Chooses among other instances, each with its region: the nearest ones in turn, and those that have lately failed
    /// only if there are no others.
    #[must_use]
    pub fn choose<'a>(
        &self,
        now: TimeMs,
        others: impl Iterator<Item = (&'a Heartbeat, Option<&'a ids::RegionId>)>,
        wish: &TunnelWish<'_>,
    ) -> Option<&'a Heartbeat> {
        let usable = others.filter(|(one, region)| {
            wish.allowed_regions.allows_passage(*region) && !wish.tried.contains(&one.instance)
        });
        let ranked: Vec<_> = usable
            .map(|(one, region)| {
                let has_failed = self.has_failed(now, &one.instance);
                ((has_failed, wish.distance(&one.zone, region)), one)
            })
            .collect();
        let best = ranked.iter().map(|(rank, _)| *rank).min()?;
        let best: Vec<_> = ranked
            .into_iter()
            .filter(|(rank, _)| *rank == best)
            .collect();
        let index = (wish.spread * best.len() as f64) as usize;
        let (_, chosen) = best.get(index.min(best.len() - 1))?;
        Some(chosen)
    }
}
