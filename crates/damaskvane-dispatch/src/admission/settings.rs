//! Settings of the admission queue.
//!
//! ```
//! use damaskvane_dispatch::admission;
//!
//! assert_eq!(admission::QueueSettings::default().max_waiting, 256);
//! ```

use serde::{Deserialize, Serialize};

/// Bounds on the number of queued requests, their wait, and the retry-after of rejected requests.
///
/// The retry-after is the delay before the client should retry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// Maximum number of queued requests of one service.
    pub max_waiting: usize,
    /// Longest wait in the queue, in milliseconds.
    ///
    /// If this limit is long, requests are served whose clients have already timed out.
    pub max_wait_ms: u64,
    /// Time in milliseconds that a request needs after admission; the request is rejected if less time remains
    /// until its deadline.
    pub min_run_ms: u64,
    /// Shortest retry-after, in milliseconds.
    pub min_retry_after_ms: u64,
    /// Longest retry-after, in milliseconds; also applies while no request leaves the queue.
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
