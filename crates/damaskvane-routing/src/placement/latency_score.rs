//! Scores the value of an answer to its caller by the expected latency.

/// Width of the smooth transition at a time limit, as a share of the limit.
const SMOOTHING_SHARE: f64 = 0.08;

/// The score of an answer over time: 1 within the objective, lower after the objective, 0 after the deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LatencyScore {
    /// Time within which an answer scores 1.
    pub(super) objective_ms: f64,
    /// Time until the deadline; a later answer scores 0.
    pub(super) remaining_ms: f64,
    /// Score of an answer between the objective and the deadline.
    pub(super) late_score: f64,
}

impl LatencyScore {
    /// Returns the score of an answer that is expected after `expected_ms`.
    ///
    /// The transitions at the limits are smooth because the time is an estimate: a server that is expected to miss
    /// the objective narrowly scores higher than one that misses it by far.
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
