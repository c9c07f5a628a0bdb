//! Settings of the admission queue.
//!
//! ```
//! use damaskvane_dispatch::admission;
//!
//! assert_eq!(admission::QueueSettings::default().max_waiting, 256);
//! ```

use serde::{Deserialize, Serialize};

/// How many requests wait and for how long.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// How many requests of one service wait.
    pub max_waiting: usize,
    /// The longest wait; long waits serve requests whose clients have given up.
    pub max_wait_ms: u64,
    /// The time that a request needs once it is admitted; with less left it is given up.
    pub min_run_ms: u64,
    /// The shortest retry-after.
    pub min_retry_after_ms: u64,
    /// The longest retry-after, also while nothing drains.
    pub max_retry_after_ms: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_waiting: 256,
            max_wait_ms: 500,
            min_run_ms: 20,
            min_retry_after_ms: 50,
            max_retry_after_ms: 5_000,
        }
    }
}
