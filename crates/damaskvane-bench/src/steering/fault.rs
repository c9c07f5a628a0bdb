//! What goes wrong in a run.
//!
//! ```
//! use damaskvane_bench::steering;
//!
//! assert_eq!("region-loss".parse(), Ok(steering::Fault::RegionLoss));
//! ```

use core::{fmt, str};

use crate::arguments;

/// When a fault begins and ends, in virtual seconds.
pub(super) const BEGIN_S: u64 = 40;
pub(super) const END_S: u64 = 90;

/// How long membership takes to see that a zone does not answer, and that it does again.
pub(super) const SEEN_LOST_AFTER_S: u64 = 3;
pub(super) const SEEN_BACK_AFTER_S: u64 = 1;

/// The region that faults hit.
pub(super) const REGION: usize = 1;

/// The zone that faults of one zone hit.
pub(super) const ZONE: usize = 2;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A region fails and stays away.
    RegionLoss,
    /// No report of another zone arrives for a while.
    Frozen,
    /// Reports of other zones arrive 30 s late.
    Delayed,
    /// A third of the reports are nonsense, some under another zone's name.
    Absurd,
    /// A zone sheds half of its work while its report says idle.
    IdleWhileShedding,
    /// A ticket moves 40% of a zone's clients to another region, where caches are cold.
    ColdShift,
    /// A region is cut off from the others until all numbers are gone, and heals.
    Heal,
}

impl Fault {
    /// All of them.
    pub const ALL: [Self; 8] = [
        Self::None,
        Self::RegionLoss,
        Self::Frozen,
        Self::Delayed,
        Self::Absurd,
        Self::IdleWhileShedding,
        Self::ColdShift,
        Self::Heal,
    ];

    pub(super) fn is_on(self, second: u64) -> bool {
        self != Self::None && (BEGIN_S..END_S).contains(&second)
    }

    /// Whether a region has failed for good by now.
    pub(super) fn region_lost(self, second: u64) -> bool {
        self == Self::RegionLoss && second >= BEGIN_S
    }

    /// Whether a region is cut off from the others now.
    pub(super) fn region_cut(self, second: u64) -> bool {
        self == Self::Heal && self.is_on(second)
    }

    /// Whether membership says that the region does not answer.
    pub(super) fn seen_away(self, second: u64) -> bool {
        match self {
            Self::RegionLoss => second >= BEGIN_S + SEEN_LOST_AFTER_S,
            Self::Heal => {
                (BEGIN_S + SEEN_LOST_AFTER_S..END_S + SEEN_BACK_AFTER_S).contains(&second)
            }
            _ => false,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::None => "none",
            Self::RegionLoss => "region-loss",
            Self::Frozen => "frozen",
            Self::Delayed => "delayed",
            Self::Absurd => "absurd",
            Self::IdleWhileShedding => "idle-sheds",
            Self::ColdShift => "cold-shift",
            Self::Heal => "heal",
        })
    }
}

impl str::FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        arguments::named(&Self::ALL, text, "fault")
    }
}
