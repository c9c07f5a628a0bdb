//! Ways to choose a server.

use core::{fmt, str};

use damaskvane_routing::placement::PlacementSettings;

use crate::arguments;
use crate::placement::mechanism::Mechanism;

/// A way to choose a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// Any server.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests of the instance itself.
    LeastInFlight,
    /// The less loaded of two drawn at random.
    TwoChoices,
    /// The first settings that were kept: four servers of an object, refusal above 1.2.
    FourServers,
    /// Two servers of an object, refusal above 1.2.
    TwoTight,
    /// One server of an object, refusal above 2.5.
    OneServer,
    /// Three servers of an object, refusal above 2.5.
    ThreeServers,
    /// What instances use.
    Current,
    /// What instances use, without one mechanism.
    Without(Mechanism),
    /// A chooser that knows everything, with no lag.
    Oracle,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 17] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::TwoChoices,
        Self::FourServers,
        Self::TwoTight,
        Self::OneServer,
        Self::ThreeServers,
        Self::Current,
        Self::Without(Mechanism::LateWorth),
        Self::Without(Mechanism::SlotCost),
        Self::Without(Mechanism::DistanceCost),
        Self::Without(Mechanism::LoadLimit),
        Self::Without(Mechanism::PriorityStep),
        Self::Without(Mechanism::Popularity),
        Self::Without(Mechanism::ShiftStep),
        Self::Oracle,
    ];

    /// The word on the command line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastInFlight => "least-in-flight",
            Self::TwoChoices => "two-choices",
            Self::FourServers => "four-servers",
            Self::TwoTight => "two-tight",
            Self::OneServer => "one-server",
            Self::ThreeServers => "three-servers",
            Self::Current => "current",
            Self::Without(mechanism) => mechanism.without(),
            Self::Oracle => "oracle",
        }
    }

    /// The settings of placement, where the policy is one of placement by object.
    #[must_use]
    pub fn settings(self) -> Option<PlacementSettings> {
        let current = PlacementSettings::default();
        match self {
            Self::Random
            | Self::RoundRobin
            | Self::LeastInFlight
            | Self::TwoChoices
            | Self::Oracle => None,
            Self::FourServers => Some(PlacementSettings {
                servers_per_object: 4,
                load_limit: 1.2,
                load_limit_step: 0.2,
                load_limit_floor: 0.6,
                ..current
            }),
            Self::TwoTight => Some(PlacementSettings {
                load_limit: 1.2,
                load_limit_step: 0.2,
                load_limit_floor: 0.6,
                ..current
            }),
            Self::OneServer => Some(PlacementSettings {
                servers_per_object: 1,
                ..current
            }),
            Self::ThreeServers => Some(PlacementSettings {
                servers_per_object: 3,
                ..current
            }),
            Self::Current => Some(current),
            Self::Without(mechanism) => Some(mechanism.switched_off()),
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl str::FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        arguments::named(&Self::ALL, text, "policy")
    }
}
