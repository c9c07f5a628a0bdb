//! A service as the engine sees it.
//!
//! ```
//! use damaskvane_engine::directory;
//!
//! assert!(directory::Service::default().queue_limit > 0);
//! ```

use damaskvane_core::{time, units};

/// Bounds of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Service {
    /// The longest a request may take.
    pub request_timeout: time::SpanMs,
    /// How long a request usually runs on a backend server.
    pub typical_duration: time::SpanMs,
    /// The most requests that wait on one instance.
    pub queue_limit: u32,
    /// Retries as a share of first tries.
    pub retry_budget: units::Permille,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            request_timeout: time::SpanMs::new(2_000),
            typical_duration: time::SpanMs::new(50),
            queue_limit: 64,
            retry_budget: units::Permille::new(100),
        }
    }
}
