//! What one run plays.

use core::fmt;
use core::str;

use damaskvane_routing::quota::QuotaSettings;

/// Number of availability zones, two in each region.
pub(super) const ZONES: usize = 6;
/// Requests a second that an instance receives.
pub(super) const REQUESTS_PER_INSTANCE_S: f64 = 22.0;
/// Factor between a team's limit and its usual demand.
pub(super) const LIMIT_FACTOR: f64 = 1.6;
/// Time at which the disturbance of a pattern begins, in milliseconds: all pools have filled by then.
pub(super) const DISTURBED_FROM_MS: u64 = 12_000;
/// Time at which the disturbance ends.
pub(super) const DISTURBED_UNTIL_MS: u64 = 20_000;

/// A disturbance of the usual load or of the messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// The usual load, whose zones take turns at their peaks.
    Steady,
    /// Most callers of one zone move to another one.
    Shift,
    /// One team sends 7.5 times its usual requests.
    Hot,
    /// All processes are killed and start again at once.
    KillAll,
    /// Processes are killed one after the other.
    Kills,
    /// One zone is cut off from all others, in both directions, while a team is hot.
    Cut,
    /// Messages from one zone to the others are lost, not those to it, while a team is hot.
    OneWay,
    /// A tenth of all messages are lost and a tenth are a second late, while a team is hot.
    Lossy,
    /// All limits are halved.
    Lowered,
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Self; 9] = [
        Self::Steady,
        Self::Shift,
        Self::Hot,
        Self::KillAll,
        Self::Kills,
        Self::Cut,
        Self::OneWay,
        Self::Lossy,
        Self::Lowered,
    ];

    /// Returns whether one team sends many times its usual requests.
    pub(super) const fn is_hot(self) -> bool {
        matches!(self, Self::Hot | Self::Cut | Self::OneWay | Self::Lossy)
    }
}

impl fmt::Display for Pattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Steady => "steady",
            Self::Shift => "shift",
            Self::Hot => "hot",
            Self::KillAll => "kill-all",
            Self::Kills => "kills",
            Self::Cut => "cut",
            Self::OneWay => "one-way",
            Self::Lossy => "lossy",
            Self::Lowered => "lowered",
        })
    }
}

impl str::FromStr for Pattern {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|one| one.to_string() == text);
        found.ok_or_else(|| format!("no pattern {text}"))
    }
}

/// A way to keep quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WayName {
    /// Each instance has an equal share of the quota.
    Shares,
    /// Each zone has a pool of tokens, and pools borrow from each other.
    Pools,
    /// Instances tell each other what they admitted, and admit by the sum.
    Counts,
}

impl WayName {
    /// All ways.
    pub const ALL: [Self; 3] = [Self::Shares, Self::Pools, Self::Counts];
}

impl fmt::Display for WayName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Shares => "shares",
            Self::Pools => "pools",
            Self::Counts => "counts",
        })
    }
}

impl str::FromStr for WayName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|one| one.to_string() == text);
        found.ok_or_else(|| format!("no way {text}"))
    }
}

/// One run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Case {
    /// The way to keep quotas.
    pub way: WayName,
    /// The disturbance.
    pub pattern: Pattern,
    /// Number of instances.
    pub instances: usize,
    /// Number of teams.
    pub teams: usize,
    /// Length in seconds of virtual time.
    pub seconds: u64,
    /// Seed of all chances.
    pub seed: u64,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            way: WayName::Pools,
            pattern: Pattern::Steady,
            instances: 30,
            teams: 79,
            seconds: 30,
            seed: 1,
        }
    }
}

impl Case {
    /// Returns the bound that must hold in any window, for a number of pools.
    pub(super) fn bound(pools: usize) -> QuotaSettings {
        QuotaSettings {
            over: 0.1,
            slack: 20.0,
            pools,
            ..QuotaSettings::default()
        }
    }
}
