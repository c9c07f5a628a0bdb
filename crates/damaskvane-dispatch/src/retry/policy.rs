//! The policy that decides whether and when to retry on another backend server.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::{deadline, exchange, retry};
//! use rand::SeedableRng;
//!
//! let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
//! let mut policy = retry::RetryPolicy::new(retry::RetrySettings::default());
//! policy.record_first_try();
//! let now = time::TimeMs::ZERO;
//! let deadline = deadline::Deadline::after(now, time::SpanMs::new(2_000));
//! let admitted = exchange::Received::repeatable("try-1".parse()?, deadline).admit();
//! let decision = policy.decide(now, &admitted, 1, &mut rng);
//! assert!(matches!(decision, retry::RetryDecision::Retry { .. }));
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::time;
use rand::RngExt;

use crate::exchange;
use crate::retry::{budget, decision, settings};

/// The number of doublings after which the backoff, the delay before a retry, exceeds any sensible maximum.
const MAX_DOUBLINGS: usize = 16;

/// The retry policy of one service on one instance.
///
/// The policy decides only on an [`exchange::Admitted`]. A non-repeatable request never returns to this
/// state once it may have run.
#[derive(Debug)]
pub struct RetryPolicy {
    settings: settings::RetrySettings,
    budget: budget::RetryBudget,
}

impl RetryPolicy {
    /// Creates a policy with a full retry budget.
    #[must_use]
    pub const fn new(settings: settings::RetrySettings) -> Self {
        let budget = budget::RetryBudget::new(settings.share_permille, settings.max_saved);
        Self { settings, budget }
    }

    /// Records the first attempt of a request, which adds to the budget.
    pub fn record_first_try(&mut self) {
        self.budget.deposit();
    }

    /// Decides whether to retry after a failed attempt.
    ///
    /// `untried_servers` is the number of backend servers that could receive the next attempt.
    pub fn decide(
        &mut self,
        now: time::TimeMs,
        admitted: &exchange::Admitted,
        untried_servers: usize,
        rng: &mut impl RngExt,
    ) -> decision::RetryDecision {
        let tries = admitted.tried().len();
        if untried_servers == 0 {
            return decision::RetryDecision::Stop(decision::RetryStop::NoOtherServer);
        }
        if tries >= self.settings.max_tries {
            return decision::RetryDecision::Stop(decision::RetryStop::TriesUsed);
        }
        let after = self.backoff(tries, rng);
        let needed_ms = after.get() + self.settings.min_time_left_ms;
        if admitted.deadline().time_left(now) < time::SpanMs::new(needed_ms) {
            return decision::RetryDecision::Stop(decision::RetryStop::DeadlineTooShort);
        }
        if !self.budget.withdraw() {
            return decision::RetryDecision::Stop(decision::RetryStop::BudgetUsed);
        }
        decision::RetryDecision::Retry { after }
    }

    /// Returns a random delay with full jitter, so that requests that failed together aren't retried together.
    fn backoff(&self, tries: usize, rng: &mut impl RngExt) -> time::SpanMs {
        let doublings = tries.saturating_sub(1).min(MAX_DOUBLINGS);
        let max_delay_ms = self.settings.base_backoff_ms << doublings;
        let max_delay_ms = max_delay_ms.min(self.settings.max_backoff_ms);
        time::SpanMs::new(rng.random_range(0..=max_delay_ms))
    }
}
