//! Services.
//!
//! ```
//! use damaskvane_config::declaration;
//!
//! assert_eq!(declaration::Service::default().policy, declaration::Policy::Latency);
//! ```

use damaskvane_core::{time, units};
use serde::{Deserialize, Serialize};

/// What steering weighs most for a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The nearest zone that has room.
    #[default]
    Latency,
    /// The zone with the most room left.
    Headroom,
}

/// A service with its time-outs and budgets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// The longest a request may take.
    pub request_timeout_ms: time::SpanMs,
    /// How long clients may keep a look-up answer.
    pub lookup_ttl_ms: time::SpanMs,
    /// The most requests that wait for a slot on one instance.
    pub queue_limit: u32,
    /// Retries as a share of first tries.
    pub retry_budget_permille: units::Permille,
    /// How long an idempotency key is remembered.
    pub idempotency_window_ms: time::SpanMs,
    /// What steering weighs most.
    pub policy: Policy,
    /// The weight against other services that share links and instances.
    pub priority_weight: u32,
    /// How long a request usually runs on a backend server.
    pub typical_request_ms: time::SpanMs,
    /// The usual size of a request.
    pub typical_request_bytes: units::Bytes,
    /// The usual size of an answer.
    pub typical_answer_bytes: units::Bytes,
    /// The rate that the service must carry at its busiest; 0 leaves it unchecked.
    pub peak_requests_per_second: units::RequestsPerSecond,
}

impl Service {
    /// The keys of the TOML form.
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
