//! Settings of retries.
//!
//! ```
//! use damaskvane_dispatch::retry;
//!
//! let settings = retry::RetrySettings { max_tries: 2, ..Default::default() };
//! assert_eq!(settings.share_permille, 80);
//! ```

use serde::{Deserialize, Serialize};

/// The number of retries that a service may make, and the delays before them.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// The maximum number of attempts of one request, including the first.
    pub max_tries: usize,
    /// The number of retries that the budget allows for each thousand first attempts.
    pub share_permille: u32,
    /// The maximum number of retries that the budget can save up while few attempts fail.
    pub max_saved: u32,
    /// The maximum delay before the first retry, in milliseconds; the maximum doubles with each further retry.
    pub base_backoff_ms: u64,
    /// The maximum delay before any retry, in milliseconds.
    pub max_backoff_ms: u64,
    /// The minimum time in milliseconds that must remain until the deadline after the delay.
    pub min_time_left_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_tries: 3,
            share_permille: 80,
            max_saved: 10,
            base_backoff_ms: 10,
            max_backoff_ms: 200,
            min_time_left_ms: 20,
        }
    }
}
