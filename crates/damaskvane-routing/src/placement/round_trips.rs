//! Estimates of the network round trip to each availability zone.

use std::collections::HashMap;

use damaskvane_core::ids;

/// Weight in the estimate of a new measurement that is higher than the estimate.
const RISE_WEIGHT: f64 = 0.1;

/// Estimated round trip to each availability zone, from the time that connections take to open.
#[derive(Debug, Default)]
pub struct RoundTrips {
    zones: HashMap<ids::AvailabilityZoneId, f64>,
}

impl RoundTrips {
    /// Records how long a connection to the zone took to open.
    ///
    /// A lower time replaces the estimate, a higher time raises it slowly: the round trip is at most the time of a fast
    /// handshake, while a single slow handshake may have other causes.
    pub fn record(&mut self, zone: &ids::AvailabilityZoneId, took_ms: f64) {
        if let Some(estimate_ms) = self.zones.get_mut(zone) {
            *estimate_ms = if took_ms < *estimate_ms {
                took_ms
            } else {
                *estimate_ms + (took_ms.min(*estimate_ms * 3.0) - *estimate_ms) * RISE_WEIGHT
            };
        } else {
            self.zones.insert(zone.clone(), took_ms);
        }
    }

    /// Returns the estimated round trip in milliseconds, or `None` if no connection to the zone was measured.
    #[must_use]
    pub fn get(&self, zone: &ids::AvailabilityZoneId) -> Option<f64> {
        self.zones.get(zone).copied()
    }
}
