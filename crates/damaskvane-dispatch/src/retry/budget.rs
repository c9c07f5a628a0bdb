//! A token budget for retries: the first attempt of each request adds tokens, and each retry takes some.
//!
//! ```
//! use damaskvane_dispatch::retry;
//!
//! let mut budget = retry::RetryBudget::new(80, 1);
//! assert!(budget.withdraw());
//! assert!(!budget.withdraw());
//! ```

/// The tokens that one retry costs; each first attempt deposits `share_permille` tokens.
const RETRY_COST: u32 = 1_000;

/// The retries that an instance may still make for one service.
///
/// When every attempt fails, retries without a budget multiply the load on servers that are already failing,
/// and can prevent their recovery. The budget limits retries to a share of the first attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share_permille: u32,
    max_tokens: u32,
    tokens: u32,
}

impl RetryBudget {
    /// Creates a full budget, which holds the tokens for `max_saved` retries.
    #[must_use]
    pub const fn new(share_permille: u32, max_saved: u32) -> Self {
        let max_tokens = max_saved.saturating_mul(RETRY_COST);
        Self {
            share_permille,
            max_tokens,
            tokens: max_tokens,
        }
    }

    /// Adds the tokens for the first attempt of one request, up to the maximum.
    pub fn deposit(&mut self) {
        let tokens = self.tokens.saturating_add(self.share_permille);
        self.tokens = tokens.min(self.max_tokens);
    }

    /// Takes the tokens of one retry from the budget.
    ///
    /// Returns `false` if the budget holds fewer tokens than that.
    pub const fn withdraw(&mut self) -> bool {
        match self.tokens.checked_sub(RETRY_COST) {
            Some(remaining) => {
                self.tokens = remaining;
                true
            }
            None => false,
        }
    }
}
