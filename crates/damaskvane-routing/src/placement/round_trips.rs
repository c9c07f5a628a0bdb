//! Time to the availability zones and back.

use std::collections::HashMap;

use damaskvane_core::ids;

/// The weight of a new measurement that is above the known one.
const RISE_WEIGHT: f64 = 0.1;

/// The round trip to each availability zone, as connections measured it.
#[derive(Debug, Default)]
pub struct RoundTrips {
    zones: HashMap<ids::AvailabilityZoneId, f64>,
}

impl RoundTrips {
    /// Notes how long a connection took to open.
    ///
    /// A single slow handshake says little, a fast one says how near the zone is: the estimate falls at
    /// once and rises slowly.
    pub fn record(&mut self, zone: &ids::AvailabilityZoneId, took_ms: f64) {
        if let Some(known) = self.zones.get_mut(zone) {
            *known = if took_ms < *known {
                took_ms
            } else {
                *known + (took_ms.min(*known * 3.0) - *known) * RISE_WEIGHT
            };
        } else {
            self.zones.insert(zone.clone(), took_ms);
        }
    }

    /// The round trip to a zone, if one was measured.
    #[must_use]
    pub fn get(&self, zone: &ids::AvailabilityZoneId) -> Option<f64> {
        self.zones.get(zone).copied()
    }
}
