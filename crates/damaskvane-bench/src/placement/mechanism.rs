//! Mechanisms of placement that can be switched off one by one, to see what each is worth.

use damaskvane_routing::placement::PlacementSettings;

/// More than any load or rate reaches.
const NEVER: f64 = 1e9;

/// A mechanism of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// A late answer is worth less than one in time.
    LateWorth,
    /// Slots cost, busy ones more.
    SlotCost,
    /// Distance costs.
    DistanceCost,
    /// Requests above a limit of load are refused.
    LoadLimit,
    /// The less urgent are refused at a lower load.
    PriorityStep,
    /// Popular objects have a server in each zone.
    Popularity,
    /// Requests leave their region step by step.
    ShiftStep,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 7] = [
        Self::LateWorth,
        Self::SlotCost,
        Self::DistanceCost,
        Self::LoadLimit,
        Self::PriorityStep,
        Self::Popularity,
        Self::ShiftStep,
    ];

    /// The word on the command line for placement without it.
    #[must_use]
    pub const fn without(self) -> &'static str {
        match self {
            Self::LateWorth => "without-late-worth",
            Self::SlotCost => "without-slot-cost",
            Self::DistanceCost => "without-distance-cost",
            Self::LoadLimit => "without-load-limit",
            Self::PriorityStep => "without-priority-step",
            Self::Popularity => "without-popularity",
            Self::ShiftStep => "without-shift-step",
        }
    }

    /// The settings of placement without it.
    #[must_use]
    pub fn switched_off(self) -> PlacementSettings {
        let current = PlacementSettings::default();
        match self {
            Self::LateWorth => PlacementSettings {
                late_worth: 1.0,
                ..current
            },
            Self::SlotCost => PlacementSettings {
                slot_cost: 0.0,
                busy_cost: 0.0,
                ..current
            },
            Self::DistanceCost => PlacementSettings {
                other_zone_cost_per_kb: 0.0,
                other_region_cost: 0.0,
                ..current
            },
            Self::LoadLimit => PlacementSettings {
                load_limit: NEVER,
                load_limit_step: 0.0,
                ..current
            },
            Self::PriorityStep => PlacementSettings {
                load_limit_step: 0.0,
                ..current
            },
            Self::Popularity => PlacementSettings {
                popular_cost_per_s: NEVER,
                ..current
            },
            Self::ShiftStep => PlacementSettings {
                shift_most: NEVER,
                ..current
            },
        }
    }
}
