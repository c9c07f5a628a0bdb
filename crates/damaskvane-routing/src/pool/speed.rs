//! How long requests usually take on a route, and how much slower than usual a server is.
//!
//! An object is the item that a client's request names; a server is faster for an object that it has handled recently.

use std::collections::HashMap;

/// Weight of a new sample in the moving average of a route's time.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Average times of a route's requests in milliseconds, without the network round trip.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Baseline {
    /// Average time on a server that has handled the request's object recently.
    pub warm_ms: f64,
    /// Average time on a server that hasn't handled the request's object recently.
    pub first_ms: f64,
    /// Whether `warm_ms` comes from observed requests; otherwise it is an estimate from the route's objective.
    pub is_measured: bool,
}

impl Baseline {
    /// Returns an estimate from the route's response time objective, which applies until requests are observed.
    #[must_use]
    pub fn guess(objective_ms: u64) -> Self {
        let objective_ms = objective_ms as f64;
        Self {
            warm_ms: objective_ms * 0.45,
            first_ms: objective_ms * 1.4,
            is_measured: false,
        }
    }

    /// Returns the expected time in milliseconds if the server has handled the object recently with probability
    /// `warm_probability`.
    #[must_use]
    pub fn expected_ms(&self, warm_probability: f64) -> f64 {
        self.warm_ms
            .mul_add(warm_probability, self.first_ms * (1.0 - warm_probability))
    }
}

/// The average times of all routes, by the names of the routes.
#[derive(Debug, Default)]
pub struct Baselines {
    routes: HashMap<String, Baseline>,
}

impl Baselines {
    /// Returns the average times of a route, or an estimate from its objective if no request was observed.
    #[must_use]
    pub fn of(&self, route: &str, objective_ms: u64) -> Baseline {
        self.routes
            .get(route)
            .copied()
            .unwrap_or_else(|| Baseline::guess(objective_ms))
    }

    /// Records the time of a request. `is_warm` states whether the server had handled the object recently before.
    pub fn record(&mut self, route: &str, objective_ms: u64, is_warm: bool, took_ms: f64) {
        let mut baseline = self.of(route, objective_ms);
        baseline.is_measured |= is_warm;
        let average = if is_warm {
            &mut baseline.warm_ms
        } else {
            &mut baseline.first_ms
        };
        // A single outlier changes the average by a few percent at most, so that a slow server doesn't raise the
        // baseline for all other servers.
        let bounded = took_ms.min(*average * 2.0);
        *average += (bounded - *average) * SAMPLE_WEIGHT;
        baseline.first_ms = baseline.first_ms.max(baseline.warm_ms);
        self.routes.insert(route.to_owned(), baseline);
    }
}

/// Ratio of the time that requests take on one server to the time that they usually take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Slowness {
    ratio: f64,
}

impl Default for Slowness {
    fn default() -> Self {
        Self { ratio: 1.0 }
    }
}

/// Maximum ratio; higher ratios count as this one.
const MAX_RATIO: f64 = 10.0;
/// Weight of a new sample in a server's ratio; three slow responses are enough to detect a slow server.
const RATIO_WEIGHT: f64 = 0.3;

impl Slowness {
    /// Records that a request took `took_ms`, where requests of its kind usually take `expected_ms`.
    pub(super) fn record(&mut self, took_ms: f64, expected_ms: f64) {
        let ratio = (took_ms / expected_ms.max(1.0)).clamp(0.3, MAX_RATIO);
        self.ratio += (ratio - self.ratio) * RATIO_WEIGHT;
    }

    /// Returns the slowness that a peer reported, limited to the range from 1 to the maximum.
    pub(super) const fn from_ratio(ratio: f64) -> Self {
        Self {
            ratio: ratio.clamp(1.0, MAX_RATIO),
        }
    }

    /// Moves the ratio towards 1 with a time constant of 6 s, so that a server that has recovered receives requests
    /// again.
    pub(super) fn decay(&mut self, elapsed_ms: u64) {
        let weight = (-(elapsed_ms as f64) / 6_000.0).exp();
        self.ratio = 1.0 + (self.ratio - 1.0) * weight;
    }

    /// Returns the ratio of the server's time to the usual time; 1 means the usual time.
    #[must_use]
    pub(super) const fn ratio(self) -> f64 {
        self.ratio
    }
}

/// Time in which the share of failures decays to about a third if no exchange ends.
const FAILURE_DECAY_MS: f64 = 4_000.0;

/// Returns a share of failures that was observed `age_ms` ago, decayed since then.
pub(super) fn decayed_share(share: f64, age_ms: u64) -> f64 {
    share * (-(age_ms as f64) / FAILURE_DECAY_MS).exp()
}
