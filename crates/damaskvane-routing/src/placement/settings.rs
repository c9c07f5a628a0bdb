//! Settings of placement and admission.

use serde::Deserialize;

/// How requests are placed, and when they are refused.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct PlacementSettings {
    /// Servers that take the requests of one object.
    pub servers_per_object: usize,
    /// The load for each slot up to which the most urgent requests are sent.
    pub load_limit: f64,
    /// How much lower the limit is for each rank of priority.
    pub load_limit_step: f64,
    /// The lowest limit.
    pub load_limit_floor: f64,
    /// What a server in another availability zone of the region must be faster by, in milliseconds.
    pub other_zone_cost_ms: f64,
    /// The same for a server in another region.
    pub other_region_cost_ms: f64,
    /// The earliest return of a refused client.
    pub retry_after_ms: u64,
    /// The span over which refused clients' returns are spread.
    pub retry_spread_ms: u64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            servers_per_object: 2,
            load_limit: 2.5,
            load_limit_step: 0.3,
            load_limit_floor: 1.0,
            other_zone_cost_ms: 90.0,
            other_region_cost_ms: 10.0,
            retry_after_ms: 150,
            retry_spread_ms: 150,
        }
    }
}

impl PlacementSettings {
    /// The load for each slot up to which requests of this priority are sent.
    #[must_use]
    pub fn load_limit(&self, priority: u32) -> f64 {
        let lowered = self.load_limit - self.load_limit_step * f64::from(priority);
        lowered.max(self.load_limit_floor)
    }
}
