//! Scores the value of a response to its client by the expected latency.

/// Width of the smooth transition at a time limit, as a share of the limit.
const SMOOTHING_SHARE: f64 = 0.08;

/// The score of a response by its latency: 1 within the route's objective, lower after the objective, 0 after the
/// deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LatencyScore {
    /// Latency up to which a response scores 1.
    pub(super) objective_ms: f64,
    /// Time until the deadline; a later response scores 0.
    pub(super) remaining_ms: f64,
    /// Score of a response between the objective and the deadline.
    pub(super) late_score: f64,
}

impl LatencyScore {
    /// Returns the score of a response that is expected after `expected_ms`.
    ///
    /// The score changes smoothly at both limits because `expected_ms` is an estimate: a server that is expected to
    /// miss the objective narrowly scores higher than a server that misses the objective by far.
    pub(super) fn at(&self, expected_ms: f64) -> f64 {
        let in_time = probability_within(expected_ms, self.objective_ms);
        let before_deadline = probability_within(expected_ms, self.remaining_ms);
        before_deadline * (1.0 - self.late_score).mul_add(in_time, self.late_score)
    }
}

/// Returns the probability that a request which is expected to take `expected_ms` stays within the limit.
fn probability_within(expected_ms: f64, limit_ms: f64) -> f64 {
    let smoothing_ms = (limit_ms * SMOOTHING_SHARE).max(1.0);
    1.0 / (1.0 + ((expected_ms - limit_ms) / smoothing_ms).exp())
}
