//! Whether and when to try again on another backend server.
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

/// Doublings after which the backoff has reached any sensible maximum.
const MAX_DOUBLINGS: usize = 16;

/// The retries of one service on one instance.
///
/// It decides on an [`exchange::Admitted`] only, which a non-repeatable request never gets back to
/// once it may have run.
#[derive(Debug)]
pub struct RetryPolicy {
    settings: settings::RetrySettings,
    budget: budget::RetryBudget,
}

impl RetryPolicy {
    /// A policy with a full budget.
    #[must_use]
    pub const fn new(settings: settings::RetrySettings) -> Self {
        let budget = budget::RetryBudget::new(settings.share_permille, settings.max_saved);
        Self { settings, budget }
    }

    /// Notes the first try of a request, which pays into the budget.
    pub fn record_first_try(&mut self) {
        self.budget.pay_in();
    }

    /// Decides after a failed try; `untried_servers` are the backend servers that could take the next.
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
        if !self.budget.take() {
            return decision::RetryDecision::Stop(decision::RetryStop::BudgetUsed);
        }
        decision::RetryDecision::Retry { after }
    }

    /// Full jitter: retries of requests that failed together must not arrive together.
    fn backoff(&self, tries: usize, rng: &mut impl RngExt) -> time::SpanMs {
        let doublings = tries.saturating_sub(1).min(MAX_DOUBLINGS);
        let longest_ms = self.settings.base_backoff_ms << doublings;
        let longest_ms = longest_ms.min(self.settings.max_backoff_ms);
        time::SpanMs::new(rng.random_range(0..=longest_ms))
    }
}
