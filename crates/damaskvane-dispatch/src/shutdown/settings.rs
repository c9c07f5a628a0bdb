//! Settings of a planned stop.
//!
//! ```
//! use damaskvane_dispatch::shutdown;
//!
//! assert_eq!(shutdown::ShutdownSettings::default().lookup_ttl_ms, 2_000);
//! ```

use serde::{Deserialize, Serialize};

/// How long the phases of a planned stop last.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShutdownSettings {
    /// How long clients keep a look-up's answer.
    pub lookup_ttl_ms: u64,
    /// How long it takes until every instance leaves this one out of its answers.
    pub notice_ms: u64,
    /// The longest time from the start until the table is handed over, finished or not.
    pub max_leaving_ms: u64,
    /// The longest time for the handover.
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
