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
    /// What an answer after its objective is worth to a caller, as a part of one within it.
    pub late_worth: f64,
    /// What a server in another availability zone of the region must win more, as a part of an answer's worth.
    pub other_zone_cost: f64,
    /// The same for a server in another region.
    pub other_region_cost: f64,
    /// What a slot costs for as long as a request's objective, as a part of an answer's worth.
    pub slot_cost: f64,
    /// What it costs more where all slots are in use.
    pub busy_cost: f64,
    /// What a server costs all of whose answers fail.
    pub failure_cost: f64,
    /// What a server costs whose last exchanges hang.
    pub stalled_cost: f64,
    /// Requests a second from one zone for an object, above which it gets a server in each zone.
    pub popular_per_s: f64,
    /// The rate below which it loses them again.
    pub rare_per_s: f64,
    /// The share of a region's requests that may run in another region than two seconds before.
    pub shift_most: f64,
    /// The load for each slot of a region above which objects get no further servers there.
    pub spread_load_limit: f64,
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
            late_worth: 0.2,
            other_zone_cost: 0.09,
            other_region_cost: 0.01,
            slot_cost: 0.2,
            busy_cost: 0.1,
            failure_cost: 2.0,
            stalled_cost: 1.0,
            popular_per_s: 0.18,
            rare_per_s: 0.12,
            shift_most: 0.15,
            spread_load_limit: 0.7,
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
