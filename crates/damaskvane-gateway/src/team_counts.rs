//! Refused requests by team. Only the teams with the most are named, so that the number of metrics stays bounded.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use damaskvane_routing::teams::TeamName;

/// Largest number of teams that are counted one by one.
const MAX_COUNTED: usize = 20_000;
/// Number of teams whose counts are shown by name.
const MAX_NAMED: usize = 10;

/// Counts by team.
#[derive(Debug, Default)]
pub struct TeamCounts {
    counts: RefCell<HashMap<TeamName, u64>>,
    /// Requests of teams beyond the largest number that is counted.
    uncounted: Cell<u64>,
}

impl TeamCounts {
    /// Counts a request of a team.
    pub fn record(&self, team: &TeamName) {
        let mut counts = self.counts.borrow_mut();
        if let Some(count) = counts.get_mut(team) {
            *count += 1;
        } else if counts.len() < MAX_COUNTED {
            counts.insert(team.clone(), 1);
        } else {
            self.uncounted.set(self.uncounted.get() + 1);
        }
    }

    /// Returns the teams with the highest counts, the highest first, and the sum of all others.
    #[must_use]
    pub fn highest(&self) -> (Vec<(TeamName, u64)>, u64) {
        let counts = self.counts.borrow();
        let mut all: Vec<_> = counts
            .iter()
            .map(|(team, count)| (team.clone(), *count))
            .collect();
        all.sort_by(|one, other| other.1.cmp(&one.1).then_with(|| one.0.cmp(&other.0)));
        let others = all.split_off(all.len().min(MAX_NAMED));
        let sum: u64 = others.iter().map(|(_, count)| count).sum();
        (all, sum + self.uncounted.get())
    }
}
