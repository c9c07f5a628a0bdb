//! What policies earn on drawn deployments, as a part of what the oracle earns there.

use core::fmt;

use serde::Serialize;

use crate::placement::case::{Case, Length, Model, Pattern};
use crate::placement::policy::Policy;
use crate::placement::world;

/// How many of the worst deployments are named.
const WORST: usize = 10;

/// One policy over many drawn deployments.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Ratios {
    /// The policy.
    pub policy: String,
    /// The part of the oracle's worth, by seed; the least first.
    pub by_seed: Vec<(u64, f64)>,
}

impl Ratios {
    /// Plays a policy and the oracle on each deployment.
    #[must_use]
    pub fn of(policy: Policy, pattern: Pattern, seeds: &[u64], length: Length) -> Self {
        let mut by_seed: Vec<(u64, f64)> = std::thread::scope(|scope| {
            let workers: Vec<_> = seeds
                .iter()
                .map(|seed| scope.spawn(move || (*seed, ratio(policy, pattern, *seed, length))))
                .collect();
            let joined = workers.into_iter().map(std::thread::ScopedJoinHandle::join);
            joined
                .map(|found| found.expect("a run doesn't panic"))
                .collect()
        });
        by_seed.sort_by(|one, other| one.1.total_cmp(&other.1));
        Self {
            policy: policy.to_string(),
            by_seed,
        }
    }

    /// The part below which this share of the deployments lies.
    #[must_use]
    pub fn quantile(&self, share: f64) -> f64 {
        let last = self.by_seed.len().saturating_sub(1);
        let place = (last as f64 * share).round() as usize;
        self.by_seed.get(place).map_or(0.0, |(_, ratio)| *ratio)
    }

    /// The mean of the worst ten.
    #[must_use]
    pub fn worst_mean(&self) -> f64 {
        let worst = &self.by_seed[..self.by_seed.len().min(WORST)];
        let sum: f64 = worst.iter().map(|(_, ratio)| ratio).sum();
        sum / worst.len().max(1) as f64
    }
}

fn ratio(policy: Policy, pattern: Pattern, seed: u64, length: Length) -> f64 {
    let worth = |policy| {
        let case = Case {
            model: Model::Drawn,
            policy,
            pattern,
            load_percent: 100,
            seed,
        };
        world::run_case(&case, length).worth()
    };
    worth(policy) / worth(Policy::Oracle).max(f64::MIN_POSITIVE)
}

impl fmt::Display for Ratios {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<22} median {:.3}, tenth {:.3}, worst ten {:.3}:",
            self.policy,
            self.quantile(0.5),
            self.quantile(0.1),
            self.worst_mean()
        )?;
        for (seed, ratio) in self.by_seed.iter().take(WORST) {
            write!(f, " {seed} ({ratio:.2})")?;
        }
        Ok(())
    }
}
