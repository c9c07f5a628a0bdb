//! A token budget that first tries fill and retries use up.
//!
//! ```
//! use damaskvane_dispatch::retry;
//!
//! let mut budget = retry::RetryBudget::new(80, 1);
//! assert!(budget.withdraw());
//! assert!(!budget.withdraw());
//! ```

/// The tokens that one retry costs; each first try deposits `share_permille` tokens.
const RETRY_COST: u32 = 1_000;

/// The retries that an instance may still make for one service.
///
/// When every try fails, retries without a budget multiply the load on servers that are already failing,
/// and can prevent their recovery. The budget limits retries to a share of the first tries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share_permille: u32,
    max_tokens: u32,
    tokens: u32,
}

impl RetryBudget {
    /// Creates a full budget, which holds `max_saved` retries.
    #[must_use]
    pub const fn new(share_permille: u32, max_saved: u32) -> Self {
        let max_tokens = max_saved.saturating_mul(RETRY_COST);
        Self {
            share_permille,
            max_tokens,
            tokens: max_tokens,
        }
    }

    /// Adds the share of one first try, up to the maximum.
    pub fn deposit(&mut self) {
        let tokens = self.tokens.saturating_add(self.share_permille);
        self.tokens = tokens.min(self.max_tokens);
    }

    /// Withdraws one retry.
    ///
    /// Returns `false` if the budget holds less than one retry.
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
