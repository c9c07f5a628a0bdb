//! All teams of a configuration, with the keys by which requests name them.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use crate::teams::{KeyDigest, KeyTable, Team, TeamKey, TeamsFault};

/// The teams of one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Teams {
    teams: Vec<Rc<Team>>,
    by_key: HashMap<TeamKey, u32>,
    keys: KeyTable,
}

impl Teams {
    /// Builds the teams from their declarations, each with the digests of its keys.
    ///
    /// # Errors
    ///
    /// Fails if two teams share a name or a key, or a quota is invalid.
    pub fn new(
        declared: impl IntoIterator<Item = (Team, Vec<KeyDigest>)>,
    ) -> Result<Self, TeamsFault> {
        let mut teams = Vec::new();
        let mut names = HashSet::new();
        let mut keys = Vec::new();
        for (index, (team, digests)) in (0..).zip(declared) {
            if !names.insert(team.name.clone()) {
                return Err(TeamsFault::SharedName(team.name));
            }
            let is_invalid = |number: f64| !number.is_finite() || number < 0.0;
            let quota = team.quota.as_ref();
            if quota.is_some_and(|one| is_invalid(one.rate_per_s) || is_invalid(one.burst)) {
                return Err(TeamsFault::InvalidQuota(team.name));
            }
            keys.extend(digests.into_iter().map(|digest| (digest, index)));
            teams.push(Rc::new(team));
        }
        let keys = KeyTable::new(keys);
        if let Some((one, other)) = keys.shared() {
            let name = |index: u32| teams[index as usize].name.clone();
            return Err(TeamsFault::SharedKey(name(one), name(other)));
        }
        let indices = (0..).zip(&teams);
        let by_key = indices.map(|(index, team)| (team.key(), index)).collect();
        Ok(Self {
            teams,
            by_key,
            keys,
        })
    }

    /// Returns the team that holds a key, or `None` if no team holds it.
    #[must_use]
    pub fn holder(&self, digest: KeyDigest) -> Option<&Rc<Team>> {
        let index = self.keys.find(digest)?;
        self.teams.get(index as usize)
    }

    /// Returns the team with this hash of its name.
    #[must_use]
    pub fn team(&self, key: TeamKey) -> Option<&Rc<Team>> {
        let index = self.by_key.get(&key)?;
        self.teams.get(*index as usize)
    }

    /// Returns the number of teams.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.teams.len()
    }

    /// Returns whether there is no team.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }
}
