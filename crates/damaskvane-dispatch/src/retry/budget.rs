//! A budget that first tries pay into and retries are paid from.
//!
//! ```
//! use damaskvane_dispatch::retry;
//!
//! let mut budget = retry::RetryBudget::new(80, 1);
//! assert!(budget.take());
//! assert!(!budget.take());
//! ```

/// What one retry costs: each first try pays in `share_permille` of it.
const RETRY_COST: u32 = 1_000;

/// The retries that a service may still make.
///
/// When every try fails, retries without a budget multiply the load on servers that are already
/// failing, and one would see them kept down by it. A share of first tries bounds the multiple.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share_permille: u32,
    max_tokens: u32,
    tokens: u32,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub const fn new(share_permille: u32, max_saved: u32) -> Self {
        let max_tokens = max_saved.saturating_mul(RETRY_COST);
        Self {
            share_permille,
            max_tokens,
            tokens: max_tokens,
        }
    }

    /// Notes a first try.
    pub fn pay_in(&mut self) {
        let tokens = self.tokens.saturating_add(self.share_permille);
        self.tokens = tokens.min(self.max_tokens);
    }

    /// Takes a retry out, if there is one.
    pub const fn take(&mut self) -> bool {
        match self.tokens.checked_sub(RETRY_COST) {
            Some(left) => {
                self.tokens = left;
                true
            }
            None => false,
        }
    }
}
