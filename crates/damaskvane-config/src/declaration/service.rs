//! The declaration of a service.
//!
//! ```
//! use damaskvane_config::declaration;
//!
//! assert_eq!(declaration::Service::default().policy, declaration::Policy::Latency);
//! ```

use damaskvane_core::{time, units};
use serde::{Deserialize, Serialize};

/// The main criterion by which steering selects a zone for a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Selects the nearest zone that has free capacity.
    #[default]
    Latency,
    /// Selects the zone with the most free capacity.
    Headroom,
}

/// A service with its timeouts, limits and typical load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// Timeout of a request.
    pub request_timeout_ms: time::SpanMs,
    /// How long clients may cache the response to a lookup.
    pub lookup_ttl_ms: time::SpanMs,
    /// Maximum number of requests that wait on one instance for a slot, the right to run on a
    /// backend server.
    pub queue_limit: u32,
    /// Maximum number of retries per 1,000 first attempts.
    pub retry_budget_permille: units::Permille,
    /// How long an idempotency key, which names one request across its attempts, is retained.
    pub idempotency_window_ms: time::SpanMs,
    /// The main criterion by which steering selects a zone.
    pub policy: Policy,
    /// The weight of this service relative to others that share links and instances.
    pub priority_weight: u32,
    /// Typical duration of a request on a backend server.
    pub typical_request_ms: time::SpanMs,
    /// Typical size of a request.
    pub typical_request_bytes: units::Bytes,
    /// Typical size of a response.
    pub typical_answer_bytes: units::Bytes,
    /// The peak rate for which validation checks the capacity; 0 disables the check.
    pub peak_requests_per_second: units::RequestsPerSecond,
}

impl Service {
    /// The keys that are valid in TOML.
    pub const KEYS: &'static [&'static str] = &[
        "request_timeout_ms",
        "lookup_ttl_ms",
        "queue_limit",
        "retry_budget_permille",
        "idempotency_window_ms",
        "policy",
        "priority_weight",
        "typical_request_ms",
        "typical_request_bytes",
        "typical_answer_bytes",
        "peak_requests_per_second",
    ];
}

impl Default for Service {
    fn default() -> Self {
        Self {
            request_timeout_ms: time::SpanMs::new(2_000),
            lookup_ttl_ms: time::SpanMs::new(2_000),
            queue_limit: 64,
            retry_budget_permille: units::Permille::new(100),
            idempotency_window_ms: time::SpanMs::new(600_000),
            policy: Policy::Latency,
            priority_weight: 100,
            typical_request_ms: time::SpanMs::new(50),
            typical_request_bytes: units::Bytes::new(2_000),
            typical_answer_bytes: units::Bytes::new(10_000),
            peak_requests_per_second: units::RequestsPerSecond::ZERO,
        }
    }
}
