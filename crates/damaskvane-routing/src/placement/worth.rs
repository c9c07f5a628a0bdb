//! What an answer is worth to a caller, by when it comes.

/// The part of a time within which it is uncertain on which side of a limit an answer falls.
const BLUR_SHARE: f64 = 0.08;

/// The worth of an answer over time: whole within the objective, a part after it, nothing after the deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Worth {
    /// The time within which an answer is worth 1.
    pub(super) objective_ms: f64,
    /// The time that is left; an answer after it is worth nothing.
    pub(super) remaining_ms: f64,
    /// What a late answer is worth.
    pub(super) late: f64,
}

impl Worth {
    /// What an answer is worth that is expected after this time.
    ///
    /// The limits are blurred, since the time is a guess: a server that should just miss the objective is
    /// still better than one that misses it by far.
    pub(super) fn after(&self, expected_ms: f64) -> f64 {
        let in_time = chance_within(expected_ms, self.objective_ms);
        let at_all = chance_within(expected_ms, self.remaining_ms);
        at_all * (1.0 - self.late).mul_add(in_time, self.late)
    }
}

/// The chance that what should take `expected_ms` takes less than the limit.
fn chance_within(expected_ms: f64, limit_ms: f64) -> f64 {
    let blur_ms = (limit_ms * BLUR_SHARE).max(1.0);
    1.0 / (1.0 + ((expected_ms - limit_ms) / blur_ms).exp())
}
