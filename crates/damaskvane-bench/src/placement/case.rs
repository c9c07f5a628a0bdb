//! What is run.

use core::{fmt, str};

use crate::arguments;
use crate::placement::policy::Policy;

/// How the load behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// Zones rise and fall in turn, as on a calm day.
    Steady,
    /// All zones send 1.7 times as much for three seconds.
    Burst,
    /// A sixth of the servers takes five times as long for six seconds.
    Slow,
    /// Half of one zone's callers move to another one for six seconds.
    Shift,
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Self; 4] = [Self::Steady, Self::Burst, Self::Slow, Self::Shift];

    /// The word on the command line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Burst => "burst",
            Self::Slow => "slow",
            Self::Shift => "shift",
        }
    }
}

impl fmt::Display for Pattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl str::FromStr for Pattern {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        arguments::named(&Self::ALL, text, "pattern")
    }
}

/// What is modelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Model {
    /// The larger service of one of the users.
    Standard,
    /// A deployment that is drawn by the run's seed.
    Drawn,
}

/// One run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Case {
    /// What is modelled.
    pub model: Model,
    /// How servers are chosen.
    pub policy: Policy,
    /// How the load behaves.
    pub pattern: Pattern,
    /// Requests, in hundredths of a calm day's.
    pub load_percent: u32,
    /// The seed of everything random.
    pub seed: u64,
}

/// How long a run lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Length {
    /// The time in which requests come.
    pub run_ms: u64,
}

impl Default for Length {
    /// One wave of the callers' zones.
    fn default() -> Self {
        Self { run_ms: 36_000 }
    }
}
