//! How often the first server of an object was warm for it, by route, as measured from responses.
//!
//! A server is warm for an object, the item that a request names, if it has handled the object recently. Only requests
//! count that this instance sent to an object's first server without having sent it the object before.

use std::collections::HashMap;

use crate::placement::RouteKey;
use crate::pool::Baseline;

/// Share that is assumed until requests are observed: all instances use the first server of an object, so other
/// instances may have sent it the object.
pub(super) const ASSUMED_SHARE: f64 = 0.9;
/// Number of requests as which the assumed share counts.
const ASSUMED_REQUESTS: f64 = 10.0;
/// Lowest weight of a new request in the moving average.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Share below which objects are not expected to be warm. Between 0.1 and 0.3, the time that first runs cost on other
/// servers is about the time that requests wait at busy first servers.
const MIN_WARM_SHARE: f64 = 0.2;
/// Of this many objects, one is placed by its order of servers in any case, so that the share stays known.
const OBJECTS_PER_SAMPLED: u64 = 16;
/// The same while objects are expected to be warm. A start, in which all runs are first ones, must not count as much as
/// the time after it.
const OBJECTS_PER_SAMPLED_WHILE_WARM: u64 = 4;

#[derive(Debug, Clone, Copy)]
struct WarmShare {
    share: f64,
    requests: f64,
}

impl Default for WarmShare {
    fn default() -> Self {
        Self {
            share: ASSUMED_SHARE,
            requests: 0.0,
        }
    }
}

/// Share of requests that found the first server of their object warm, by route.
#[derive(Debug, Default)]
pub(super) struct WarmShares {
    routes: HashMap<RouteKey, WarmShare>,
}

impl WarmShares {
    /// Returns the probability that the first server of an object is warm although this instance hasn't sent it the
    /// object.
    pub(super) fn of(&self, route: RouteKey) -> f64 {
        self.routes
            .get(&route)
            .map_or(ASSUMED_SHARE, |known| known.share)
    }

    /// Returns whether an object that this instance has sent to no server is expected to be warm on its first one.
    pub(super) fn expects_warm(&self, route: RouteKey) -> bool {
        self.of(route) >= MIN_WARM_SHARE
    }

    /// Returns whether an object is placed by its order of servers although it is not expected to be warm there.
    pub(super) const fn is_sampled(object: u64) -> bool {
        object.is_multiple_of(OBJECTS_PER_SAMPLED)
    }

    /// Records the time of a request, without the network round trip, at the object's first server.
    pub(super) fn record(
        &mut self,
        route: RouteKey,
        object: u64,
        baseline: Baseline,
        work_ms: f64,
    ) {
        let every = if self.expects_warm(route) {
            OBJECTS_PER_SAMPLED_WHILE_WARM
        } else {
            OBJECTS_PER_SAMPLED
        };
        if !object.is_multiple_of(every) {
            return;
        }
        let boundary_ms = (baseline.warm_ms * baseline.first_ms).sqrt();
        let sample = if work_ms < boundary_ms { 1.0 } else { 0.0 };
        let known = self.routes.entry(route).or_default();
        let weight = (1.0 / (ASSUMED_REQUESTS + known.requests + 1.0)).max(SAMPLE_WEIGHT);
        known.share += (sample - known.share) * weight;
        known.requests += 1.0;
    }
}
