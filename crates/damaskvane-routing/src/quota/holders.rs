//! Which instance holds the pool of a team in each availability zone.
//!
//! The pools of a zone belong to the instances that were listed first there, so that an instance that joins later takes
//! no pool from another one. Whether they run doesn't matter: while one is down, its zone uses the pools of others.

use std::collections::BTreeMap;
use std::net;

use damaskvane_core::ids;
use xxhash_rust::xxh3;

use crate::peers::ListedInstance;
use crate::pool::ServerKey;
use crate::teams::TeamKey;

/// Number of instances of a zone among which its pools are divided.
const HOLDERS_PER_ZONE: usize = 8;

/// An instance that holds pools.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The instance.
    pub instance: ids::InstanceId,
    /// Address at which the instance receives messages of other instances.
    pub peer_address: net::SocketAddr,
    /// Revision of the store at which the instance was first listed.
    created: u64,
}

/// The instances that hold pools, by availability zone.
#[derive(Debug, Clone, Default)]
pub struct HolderTable {
    zones: BTreeMap<ids::AvailabilityZoneId, Vec<Holder>>,
}

impl HolderTable {
    /// Builds the table from the platform's list of instances.
    pub fn new<'a>(listed: impl IntoIterator<Item = &'a ListedInstance>) -> Self {
        let mut zones: BTreeMap<_, Vec<Holder>> = BTreeMap::new();
        for one in listed {
            let Some(zone) = &one.zone else {
                continue;
            };
            zones.entry(zone.clone()).or_default().push(Holder {
                instance: one.instance.clone(),
                peer_address: one.peer_address,
                created: one.created,
            });
        }
        for holders in zones.values_mut() {
            holders.sort_by(|one, other| {
                let by_age = one.created.cmp(&other.created);
                by_age.then_with(|| one.instance.cmp(&other.instance))
            });
            holders.truncate(HOLDERS_PER_ZONE);
        }
        Self { zones }
    }

    /// Returns whether no instance is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the holder of a team's pool in a zone, or `None` if the zone has no listed instance.
    #[must_use]
    pub fn holder(&self, zone: &ids::AvailabilityZoneId, team: TeamKey) -> Option<&Holder> {
        of_team(self.zones.get(zone)?, team)
    }

    /// Returns the holders of a team's pools in all zones.
    pub fn holders(
        &self,
        team: TeamKey,
    ) -> impl Iterator<Item = (&ids::AvailabilityZoneId, &Holder)> {
        let zones = self.zones.iter();
        zones.filter_map(move |(zone, holders)| Some((zone, of_team(holders, team)?)))
    }

    /// Returns the holders of a server's tokens in order, at most `max_holders`: each of another zone as far as there are zones
    /// with instances, in the given order of zones, then further instances of these zones.
    ///
    /// An instance that joins a zone takes only the shares that its name comes first for.
    #[must_use]
    pub fn server_holders<'a>(
        &'a self,
        server: ServerKey,
        zones: impl IntoIterator<Item = &'a ids::AvailabilityZoneId>,
        max_holders: usize,
    ) -> Vec<&'a Holder> {
        let ranked = zones.into_iter().filter_map(|zone| {
            let mut holders: Vec<_> = self.zones.get(zone)?.iter().collect();
            holders.sort_by_key(|one| std::cmp::Reverse(affinity(server, one.instance.as_str())));
            Some(holders)
        });
        let ranked: Vec<_> = ranked.collect();
        let ranks = 0..HOLDERS_PER_ZONE;
        let in_order = ranks.flat_map(|rank| {
            let of_rank = ranked.iter();
            of_rank.filter_map(move |holders| holders.get(rank).copied())
        });
        in_order.take(max_holders).collect()
    }

    /// Returns the zones in which instances are listed, in the order in which they hold the tokens of a server of `home`:
    /// its own zone, the others of its region, all others.
    #[must_use]
    pub fn server_zones(
        &self,
        server: ServerKey,
        home: &ids::AvailabilityZoneId,
        is_in_home_region: impl Fn(&ids::AvailabilityZoneId) -> bool,
    ) -> Vec<&ids::AvailabilityZoneId> {
        let mut zones: Vec<_> = self.zones.keys().collect();
        zones.sort_by_key(|zone| {
            let distance = (*zone != home, !is_in_home_region(zone));
            (distance, std::cmp::Reverse(affinity(server, zone.as_str())))
        });
        zones
    }
}

/// Returns a number by which the holders of different servers are different ones.
fn affinity(server: ServerKey, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), server.get().into())
}

fn of_team(holders: &[Holder], team: TeamKey) -> Option<&Holder> {
    let shard = team.0 % HOLDERS_PER_ZONE as u64;
    let rank = (shard as usize).checked_rem(holders.len())?;
    holders.get(rank)
}
