//! How long work takes, usually and on one server.

use std::collections::HashMap;

/// The weight of a new sample in a usual time.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The usual time of a route's requests, without the way there and back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Baseline {
    /// On a server that has handled the object lately.
    pub warm_ms: f64,
    /// On any other server.
    pub first_ms: f64,
    /// Whether it comes from requests that were seen, and not from a guess.
    pub is_measured: bool,
}

impl Baseline {
    /// A guess from the route's objective, which holds until requests have been seen.
    #[must_use]
    pub fn guess(objective_ms: u64) -> Self {
        let objective_ms = objective_ms as f64;
        Self {
            warm_ms: objective_ms * 0.45,
            first_ms: objective_ms * 1.4,
            is_measured: false,
        }
    }

    /// The usual time where the object is warm with this probability.
    #[must_use]
    pub fn expected_ms(&self, warm_chance: f64) -> f64 {
        self.warm_ms
            .mul_add(warm_chance, self.first_ms * (1.0 - warm_chance))
    }
}

/// The usual times of all routes.
#[derive(Debug, Default)]
pub struct Baselines {
    routes: HashMap<String, Baseline>,
}

impl Baselines {
    /// The usual times of a route.
    #[must_use]
    pub fn of(&self, route: &str, objective_ms: u64) -> Baseline {
        self.routes
            .get(route)
            .copied()
            .unwrap_or_else(|| Baseline::guess(objective_ms))
    }

    /// Notes one request's time.
    pub fn record(&mut self, route: &str, objective_ms: u64, is_warm: bool, took_ms: f64) {
        let mut baseline = self.of(route, objective_ms);
        baseline.is_measured |= is_warm;
        let usual = if is_warm {
            &mut baseline.warm_ms
        } else {
            &mut baseline.first_ms
        };
        // One outlier moves the usual time by a few percent at most, so that a slow server does not
        // become the measure for all others.
        let bounded = took_ms.min(*usual * 2.0);
        *usual += (bounded - *usual) * SAMPLE_WEIGHT;
        baseline.first_ms = baseline.first_ms.max(baseline.warm_ms);
        self.routes.insert(route.to_owned(), baseline);
    }
}

/// How much longer than usual one server takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Slowness {
    ratio: f64,
}

impl Default for Slowness {
    fn default() -> Self {
        Self { ratio: 1.0 }
    }
}

/// The highest ratio that is told apart.
const MOST_RATIO: f64 = 10.0;
/// The weight of a new sample in a server's ratio: three slow answers show a slow server.
const RATIO_WEIGHT: f64 = 0.3;

impl Slowness {
    /// Notes a request that took `took_ms` where `expected_ms` is usual.
    pub(super) fn note(&mut self, took_ms: f64, expected_ms: f64) {
        let ratio = (took_ms / expected_ms.max(1.0)).clamp(0.3, MOST_RATIO);
        self.ratio += (ratio - self.ratio) * RATIO_WEIGHT;
    }

    /// A finding that was told.
    pub(super) const fn of(ratio: f64) -> Self {
        Self {
            ratio: ratio.clamp(1.0, MOST_RATIO),
        }
    }

    /// Lets an old finding fade, so that a server which is well again gets work again.
    pub(super) fn fade(&mut self, elapsed_ms: u64) {
        let keep = (-(elapsed_ms as f64) / 6_000.0).exp();
        self.ratio = 1.0 + (self.ratio - 1.0) * keep;
    }

    /// The ratio; 1 is usual.
    #[must_use]
    pub(super) const fn ratio(self) -> f64 {
        self.ratio
    }
}
