//! The engine's limits for a service.
//!
//! ```
//! use damaskvane_engine::directory;
//!
//! assert!(directory::Service::default().queue_limit > 0);
//! ```

use damaskvane_core::{time, units};

/// The limits of one service, from its declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Service {
    /// The maximum time for a request, with all its attempts; a client's shorter deadline takes precedence.
    pub request_timeout: time::SpanMs,
    /// The usual duration of a request on a backend server.
    pub typical_duration: time::SpanMs,
    /// The maximum number of requests that wait on one instance for a slot, the right to run one request on a
    /// backend server.
    pub queue_limit: u32,
    /// The maximum number of retries for each thousand first attempts of requests.
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
