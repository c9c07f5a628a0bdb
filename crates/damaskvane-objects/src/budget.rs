//! The rate budget of calls on the platform.
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

/// One call in thousandths, the unit in which the budget refills each millisecond.
const CALL: u64 = 1_000;

/// A token bucket that holds one second's calls. Each call counts, a waiting watch as one.
#[derive(Debug, Clone)]
pub struct RateBudget {
    calls_per_second: u64,
    left: u64,
    refilled_at: time::TimeMs,
}

impl RateBudget {
    /// A full budget; 0 calls a second is taken as 1, since no call at all would never end.
    #[must_use]
    pub const fn new(calls_per_second: u32, now: time::TimeMs) -> Self {
        let calls_per_second = if calls_per_second == 0 {
            1
        } else {
            calls_per_second as u64
        };
        Self {
            calls_per_second,
            left: calls_per_second * CALL,
            refilled_at: now,
        }
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// How long until there is one to take.
    pub fn take(&mut self, now: time::TimeMs) -> Result<(), time::SpanMs> {
        let passed = now.since(self.refilled_at).get();
        self.refilled_at = self.refilled_at.max(now);
        let refill = passed.saturating_mul(self.calls_per_second);
        let most = self.calls_per_second * CALL;
        self.left = self.left.saturating_add(refill).min(most);
        if self.left < CALL {
            let missing = CALL - self.left;
            return Err(time::SpanMs::new(missing.div_ceil(self.calls_per_second)));
        }
        self.left -= CALL;
        Ok(())
    }
}
