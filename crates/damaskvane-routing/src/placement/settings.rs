//! Settings that decide to which server a request is sent, and when a request is refused.
//!
//! An object is the item that a client's request names. A slot is a server's capacity to run one request at a time. The
//! load per slot is the number of requests on a server divided by its slots.

use damaskvane_core::time::SpanMs;
use serde::Deserialize;

use crate::placement::{Refusal, RefusalReason};

/// Factor by which the random part of the retry delay is longer for requests that only servers with limits could run: those
/// servers have capacity again bit by bit.
const LIMITED_SPREAD_FACTOR: f64 = 4.0;

/// Longest random part of the retry delay for requests whose servers all rest, in milliseconds.
const RESTING_SPREAD_MS: f64 = 1_000.0;

/// Limits and costs by which servers are compared and requests are refused.
///
/// Costs and scores are relative to a response within its route's objective, which scores 1.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct PlacementSettings {
    /// Maximum number of servers that take the requests of one object.
    pub servers_per_object: usize,
    /// Load per slot below which a server accepts requests of the highest priority.
    pub load_limit: f64,
    /// Reduction of the load limit for each lower level of priority.
    pub load_limit_step: f64,
    /// Lower bound of the load limit for all priorities.
    pub load_limit_floor: f64,
    /// Score of a response after the route's objective and before the request's deadline.
    pub late_worth: f64,
    /// Cost of each kilobyte of a request and its response to a server in another availability zone of the region.
    pub other_zone_cost_per_kb: f64,
    /// Network round trip up to which another availability zone of the region counts as near: requests to it cost nothing
    /// extra, and popular objects need no server of their own there.
    pub near_zone_round_trip_ms: f64,
    /// Cost of a server in another region.
    pub other_region_cost: f64,
    /// Cost of using a slot of a server without other requests for as long as the route's objective.
    pub slot_cost: f64,
    /// Cost in addition to `slot_cost` for the same slot time if all slots of the server are in use.
    pub busy_cost: f64,
    /// Cost of a server on which all requests fail; a lower share of failures costs proportionally less.
    pub failure_cost: f64,
    /// Cost of a server from which a request has been waiting for its response far longer than usual.
    pub stalled_cost: f64,
    /// Cost per second and object of requests from one zone to another above which a route's objects gain a server in
    /// each zone of the region.
    pub popular_cost_per_s: f64,
    /// The same cost below which a route's objects lose these servers again.
    pub rare_cost_per_s: f64,
    /// Maximum increase, within two seconds, of the share of a region's requests that are sent to another region.
    pub shift_most: f64,
    /// Load per slot of a region from which popular objects use only one server there.
    pub spread_load_limit: f64,
    /// Whether requests whose object is not expected to be warm on any server are placed by the expected room.
    pub even_load: bool,
    /// Minimum time after which a refused client should retry.
    pub retry_after_ms: u64,
    /// Maximum random time that is added to `retry_after_ms` for each refused client.
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
            other_zone_cost_per_kb: 0.045,
            near_zone_round_trip_ms: 2.0,
            other_region_cost: 0.01,
            slot_cost: 0.2,
            busy_cost: 0.1,
            failure_cost: 2.0,
            stalled_cost: 1.0,
            popular_cost_per_s: 0.016,
            rare_cost_per_s: 0.011,
            shift_most: 0.15,
            spread_load_limit: 0.7,
            even_load: false,
            retry_after_ms: 150,
            retry_spread_ms: 150,
        }
    }
}

impl PlacementSettings {
    /// Returns the cost of a request to another zone of the region, by the usual size of its route.
    #[must_use]
    pub fn other_zone_cost(&self, kilobytes: f64) -> f64 {
        self.other_zone_cost_per_kb * kilobytes
    }

    /// Returns whether a zone with this measured round trip counts as near; one that was not measured doesn't.
    #[must_use]
    pub(super) fn is_near(&self, round_trip_ms: Option<f64>) -> bool {
        round_trip_ms.is_some_and(|round_trip_ms| round_trip_ms <= self.near_zone_round_trip_ms)
    }

    /// Returns the load per slot below which a server accepts requests of this priority; 0 is the highest priority.
    #[must_use]
    pub fn load_limit(&self, priority: u32) -> f64 {
        let lowered = self.load_limit - self.load_limit_step * f64::from(priority);
        lowered.max(self.load_limit_floor)
    }

    /// Returns the refusal of a request whose servers all rest, for `wait` at least, with a retry delay that differs between
    /// clients by `spread`, a random number between 0 and 1: they return while the servers take more and more requests.
    #[must_use]
    pub fn refusal_for_rest(&self, wait: SpanMs, spread: f64) -> Refusal {
        let spread_ms = RESTING_SPREAD_MS * spread;
        Refusal {
            reason: RefusalReason::Resting,
            retry_after_ms: self.retry_after_ms + wait.get() + spread_ms as u64,
        }
    }

    /// Returns the refusal of a request, with a retry delay that differs between clients by `spread`, a random number
    /// between 0 and 1.
    #[must_use]
    pub fn refusal(&self, reason: RefusalReason, spread: f64) -> Refusal {
        let factor = match reason {
            RefusalReason::Limited => LIMITED_SPREAD_FACTOR,
            _ => 1.0,
        };
        let spread_ms = self.retry_spread_ms as f64 * factor * spread;
        Refusal {
            reason,
            retry_after_ms: self.retry_after_ms + spread_ms as u64,
        }
    }
}
