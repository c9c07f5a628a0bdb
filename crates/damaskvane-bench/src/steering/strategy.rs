//! How look-ups are answered: the planner under both policies, and the baselines.
//!
//! ```
//! use damaskvane_bench::steering;
//!
//! assert_eq!("round-robin".parse(), Ok(steering::Strategy::RoundRobin));
//! ```

use core::{fmt, str};

use damaskvane_steering::policy;

use crate::arguments;

/// How look-ups are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Any zone that answers heartbeats, with equal chance.
    Random,
    /// The zones that answer heartbeats in turn, by each instance on its own.
    RoundRobin,
    /// The zone whose last report shows the smallest part of its slots in use.
    LeastLoad,
    /// The nearest zone that answers heartbeats.
    Nearest,
    /// The planner.
    Planned(policy::Policy),
}

impl Strategy {
    /// All of them, baselines first.
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastLoad,
        Self::Nearest,
        Self::Planned(policy::Policy::Latency),
        Self::Planned(policy::Policy::Headroom),
    ];

    /// Whether it is a baseline.
    #[must_use]
    pub const fn is_baseline(self) -> bool {
        !matches!(self, Self::Planned(_))
    }
}

impl fmt::Display for Strategy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastLoad => "least-load",
            Self::Nearest => "nearest",
            Self::Planned(policy::Policy::Latency) => "latency",
            Self::Planned(policy::Policy::Headroom) => "headroom",
        })
    }
}

impl str::FromStr for Strategy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        arguments::named(&Self::ALL, text, "strategy")
    }
}
