//! Settings of retries.
//!
//! ```
//! use damaskvane_dispatch::retry;
//!
//! let settings = retry::RetrySettings { max_tries: 2, ..Default::default() };
//! assert_eq!(settings.share_permille, 80);
//! ```

use serde::{Deserialize, Serialize};

/// How many retries a service gets, and how far apart.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Tries of one request, the first one included.
    pub max_tries: usize,
    /// Retries for each thousand first tries.
    pub share_permille: u32,
    /// How many retries may be saved up.
    pub max_saved: u32,
    /// The longest wait before the first retry; it doubles with each further one.
    pub base_backoff_ms: u64,
    /// The longest wait before any retry.
    pub max_backoff_ms: u64,
    /// The time that has to be left for a try after the wait.
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
