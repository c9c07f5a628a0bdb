//! Average size of each route's requests and responses, from which the cost of their distance follows.

use std::collections::HashMap;

use crate::placement::RouteKey;

/// Size that is assumed for a route without measurements, in bytes.
const ASSUMED_BYTES: f64 = 2_000.0;
/// Weight of a new measurement in the moving average of a route's size.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Average number of bytes of a route's request and response together, heads included.
#[derive(Debug, Default)]
pub(super) struct RouteSizes {
    bytes: HashMap<RouteKey, f64>,
}

impl RouteSizes {
    /// Records the size of one request and its response.
    pub(super) fn record(&mut self, route: RouteKey, bytes: usize) {
        let bytes = bytes as f64;
        let average = self.bytes.entry(route).or_insert(bytes);
        *average += (bytes - *average) * SAMPLE_WEIGHT;
    }

    /// Returns the average size of a route in kilobytes.
    pub(super) fn kilobytes(&self, route: RouteKey) -> f64 {
        let bytes = self.bytes.get(&route);
        bytes.copied().unwrap_or(ASSUMED_BYTES) / 1_000.0
    }
}
