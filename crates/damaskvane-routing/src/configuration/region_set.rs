//! The regions in which requests may run.

use damaskvane_core::ids;

/// The regions that a route, a team or several of them together allow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegionSet {
    /// All regions.
    Any,
    /// Only these regions; none if the list is empty.
    Only(Vec<ids::RegionId>),
}

impl RegionSet {
    /// Returns the regions that a declaration allows; an empty list allows all.
    #[must_use]
    pub fn declared(regions: &[ids::RegionId]) -> Self {
        if regions.is_empty() {
            Self::Any
        } else {
            Self::Only(regions.to_vec())
        }
    }

    /// Returns whether the set contains the region.
    #[must_use]
    pub fn contains(&self, region: &ids::RegionId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.contains(region),
        }
    }

    /// Returns whether requests may pass through an instance of the region, which may be unknown.
    #[must_use]
    pub fn allows_passage(&self, region: Option<&ids::RegionId>) -> bool {
        region.map_or(*self == Self::Any, |region| self.contains(region))
    }

    /// Returns whether no region is allowed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        matches!(self, Self::Only(regions) if regions.is_empty())
    }

    /// Returns the regions that both sets contain.
    #[must_use]
    pub fn intersection(self, other: Self) -> Self {
        match (self, other) {
            (Self::Any, one) | (one, Self::Any) => one,
            (Self::Only(mut regions), other) => {
                regions.retain(|region| other.contains(region));
                Self::Only(regions)
            }
        }
    }
}
