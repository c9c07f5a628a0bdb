//! A team and what the configuration says of it.

use damaskvane_core::ids;
use xxhash_rust::xxh3;

use crate::configuration::RegionSet;
use crate::teams::{Quota, TeamName};

/// Hash of a team's name, by which messages between instances name the team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamKey(pub u64);

impl TeamKey {
    /// Returns the hash of a team's name.
    #[must_use]
    pub fn of(name: &TeamName) -> Self {
        Self(xxh3::xxh3_64(name.as_str().as_bytes()))
    }
}

/// A team as the configuration declares it.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Priority that precedes the priorities of routes, 0 is the most urgent; `None` if the team has none.
    pub priority: Option<u32>,
    /// Limit on the team's requests, or `None` if they are unlimited.
    pub quota: Option<Quota>,
    /// Regions whose servers may run the team's requests; an empty list allows all regions.
    pub allowed_regions: Vec<ids::RegionId>,
}

impl Team {
    /// Returns the regions whose servers may run the team's requests.
    #[must_use]
    pub fn regions(&self) -> RegionSet {
        RegionSet::declared(&self.allowed_regions)
    }

    /// Returns whether servers of the region may run the team's requests.
    #[must_use]
    pub fn allows(&self, region: &ids::RegionId) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.contains(region)
    }

    /// Returns the hash of the team's name.
    #[must_use]
    pub fn key(&self) -> TeamKey {
        TeamKey::of(&self.name)
    }
}
