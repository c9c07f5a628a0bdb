//! A limit on the rate of calls to the platform.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_objects::budget;
//!
//! let mut budget = budget::RateBudget::new(2, time::TimeMs::ZERO);
//! assert!(budget.take(time::TimeMs::ZERO).is_ok());
//! assert!(budget.take(time::TimeMs::ZERO).is_ok());
//! assert_eq!(budget.take(time::TimeMs::ZERO), Err(time::SpanMs::new(500)));
//! ```

use damaskvane_core::time;

/// The tokens that one call costs; a rate of one call per second adds one token per millisecond.
const TOKENS_PER_CALL: u64 = 1_000;

/// A token bucket that holds at most the calls of one second.
///
/// Every call costs the same; a waiting watch counts as one call.
#[derive(Debug, Clone)]
pub struct RateBudget {
    calls_per_second: u64,
    tokens: u64,
    refilled_at: time::TimeMs,
}

impl RateBudget {
    /// Creates a full budget; a rate of 0 is raised to 1, since a caller would otherwise wait for ever.
    #[must_use]
    pub const fn new(calls_per_second: u32, now: time::TimeMs) -> Self {
        let calls_per_second = if calls_per_second == 0 {
            1
        } else {
            calls_per_second as u64
        };
        Self {
            calls_per_second,
            tokens: calls_per_second * TOKENS_PER_CALL,
            refilled_at: now,
        }
    }

    /// Takes one call out of the budget.
    ///
    /// # Errors
    ///
    /// Returns the span until the budget has a call again, if none is left.
    pub fn take(&mut self, now: time::TimeMs) -> Result<(), time::SpanMs> {
        let elapsed_ms = now.since(self.refilled_at).get();
        self.refilled_at = self.refilled_at.max(now);
        let refill = elapsed_ms.saturating_mul(self.calls_per_second);
        let max_tokens = self.calls_per_second * TOKENS_PER_CALL;
        self.tokens = self.tokens.saturating_add(refill).min(max_tokens);
        if self.tokens < TOKENS_PER_CALL {
            let missing = TOKENS_PER_CALL - self.tokens;
            return Err(time::SpanMs::new(missing.div_ceil(self.calls_per_second)));
        }
        self.tokens -= TOKENS_PER_CALL;
        Ok(())
    }
}
