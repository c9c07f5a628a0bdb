//! Settings of the warm-up, the time after its start in which a backend server's share of requests grows.
//!
//! ```
//! use damaskvane_dispatch::drain;
//!
//! assert_eq!(drain::WarmUpSettings::default().warm_up_ms, 30_000);
//! ```

use serde::{Deserialize, Serialize};

/// Duration of the warm-up and the share of requests at its start.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WarmUpSettings {
    /// Duration of the warm-up in milliseconds, from the start of the backend server.
    pub warm_up_ms: u64,
    /// Share of requests at the start of the warm-up, in thousandths of the full share.
    pub first_share_permille: u32,
}

impl Default for WarmUpSettings {
    fn default() -> Self {
        Self {
            warm_up_ms: 30_000,
            first_share_permille: 100,
        }
    }
}
