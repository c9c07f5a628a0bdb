//! Settings of a planned shutdown.
//!
//! ```
//! use damaskvane_dispatch::shutdown;
//!
//! assert_eq!(shutdown::ShutdownSettings::default().lookup_ttl_ms, 2_000);
//! ```

use serde::{Deserialize, Serialize};

/// The durations of the phases of a planned shutdown.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShutdownSettings {
    /// How long clients use a lookup response, which names entry instances, in milliseconds.
    pub lookup_ttl_ms: u64,
    /// The time in milliseconds from the start of the shutdown until every other instance has removed this one
    /// from its lookup responses.
    pub notice_ms: u64,
    /// The maximum time in milliseconds from the start of the shutdown until the handover begins, even if
    /// requests still run.
    pub max_leaving_ms: u64,
    /// The maximum duration of the handover, in milliseconds.
    pub max_handover_ms: u64,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            lookup_ttl_ms: 2_000,
            notice_ms: 2_000,
            max_leaving_ms: 30_000,
            max_handover_ms: 10_000,
        }
    }
}
